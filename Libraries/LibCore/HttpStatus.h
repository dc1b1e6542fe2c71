#pragma once

// The HTTP status codes that the system sends or checks for, under their standard names.
namespace Core::HttpStatus {

inline constexpr unsigned Ok = 200;
inline constexpr unsigned BadRequest = 400;
inline constexpr unsigned Unauthorized = 401;
inline constexpr unsigned Forbidden = 403;
inline constexpr unsigned NotFound = 404;
inline constexpr unsigned MethodNotAllowed = 405;
inline constexpr unsigned Conflict = 409;
inline constexpr unsigned Gone = 410;
inline constexpr unsigned UnprocessableContent = 422;
inline constexpr unsigned MisdirectedRequest = 421;
inline constexpr unsigned TooEarly = 425;
inline constexpr unsigned TooManyRequests = 429;
inline constexpr unsigned InternalServerError = 500;
inline constexpr unsigned BadGateway = 502;
inline constexpr unsigned ServiceUnavailable = 503;
inline constexpr unsigned GatewayTimeout = 504;

}
