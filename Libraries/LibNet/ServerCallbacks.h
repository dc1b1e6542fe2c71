#pragma once

#include <LibNet/HttpServer.h>
#include <microhttpd.h>

namespace Net {

// libmicrohttpd's C callbacks. The context of each is the server; the state of a request is its exchange.
struct ServerCallbacks {
    // Called before a request's headers are read. The returned pointer is passed as state to the request's other
    // callbacks.
    static void *onRequestLine(void *context, const char *target, MHD_Connection *connection);
    // Called when the headers have been read, then for each part of the body, and then when the request is complete.
    static MHD_Result onRequest(void *context, MHD_Connection *connection, const char *url, const char *method,
                                const char *version, const char *data, std::size_t *size, void **state);
    // Called when the response has ended or the connection has closed.
    static void onCompleted(void *context, MHD_Connection *connection, void **state, MHD_RequestTerminationCode code);

private:
    // Reads the request line and the headers. Refuses a request whose limits are ambiguous.
    static MHD_Result readHead(const std::shared_ptr<Exchange> &exchange, std::string_view method,
                               std::string_view version);
    // Decides whether the server refuses the request because of its body, of which so many bytes are known so far.
    static void limitBody(Exchange &exchange, std::size_t bytes);
    // Stores a part of the body, or discards it if the request is refused. Fails after too much of that.
    static MHD_Result receiveBody(Exchange &exchange, std::string_view bytes);
    static MHD_Result processRequest(HttpServer &server, const std::shared_ptr<Exchange> &exchange);
    // Refuses the request before its body is read. The connection closes after the response.
    static MHD_Result refuseAtHead(const std::shared_ptr<Exchange> &exchange);
    // Responds with the server's own refusal.
    static void refuse(Exchange &exchange);
    static MHD_Result queueResponse(const std::shared_ptr<Exchange> &exchange);
    // Supplies the next part of a streamed body.
    static ssize_t onReadBody(void *context, std::uint64_t position, char *buffer, std::size_t capacity);
    // Has the exchange report from the event loop that its caller has caught up.
    static void scheduleCaughtUp(const std::shared_ptr<Exchange> &exchange);
    static void onBodyFreed(void *context);
};

}
