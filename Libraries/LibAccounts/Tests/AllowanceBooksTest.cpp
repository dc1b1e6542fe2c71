#include <LibAccounts/BorrowerBook.h>
#include <LibAccounts/LenderRole.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

namespace {

const Core::TimePoint Start(1h);
const Accounts::AllowanceTerms Terms {.account = "a", .ratePerSecond = 1000, .burst = 1000};

}

class AllowanceBooksTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AllowanceBooksTest);
    CPPUNIT_TEST(bucketStartsEmptyAndHoldsTheBurst);
    CPPUNIT_TEST(requestAboveTheBurstPutsTheBucketIntoDebt);
    CPPUNIT_TEST(refusalCountsWhatWaitsAlready);
    CPPUNIT_TEST(loweredBurstCutsTheBucket);
    CPPUNIT_TEST(raisedRateIsUsableAtOnce);
    CPPUNIT_TEST(unusedLoanIsReturned);
    CPPUNIT_TEST(refusalIsRepeatedWithoutAsking);
    CPPUNIT_TEST(loanCoversTheExpectedUse);
    CPPUNIT_TEST(withoutLenderTheLentRateGoesOn);
    CPPUNIT_TEST(secondHostLendsOnlyAfterSilence);
    CPPUNIT_TEST(newFirstHostWaitsForTheOneBefore);
    CPPUNIT_TEST_SUITE_END();

    Accounts::LenderBook m_lender;

    // Guards against two lenders in succession that each lend a whole burst.
    void bucketStartsEmptyAndHoldsTheBurst()
    {
        m_lender.open(Terms, Start);
        CPPUNIT_ASSERT_EQUAL(0.0, m_lender.lend("a", {.least = 100, .wanted = 100}, Start).amount);
        CPPUNIT_ASSERT_EQUAL(1000.0, m_lender.lend("a", {.least = 1, .wanted = 5000}, Start + 10s).amount);
        CPPUNIT_ASSERT_EQUAL(0.0, m_lender.lend("a", {.least = 1, .wanted = 1}, Start + 10s).amount);
    }

    // Guards against a small account whose large requests are never served.
    void requestAboveTheBurstPutsTheBucketIntoDebt()
    {
        m_lender.open(Terms, Start);
        CPPUNIT_ASSERT_EQUAL(3000.0, m_lender.lend("a", {.least = 3000, .wanted = 3000}, Start + 1s).amount);
        CPPUNIT_ASSERT_EQUAL(0.0, m_lender.lend("a", {.least = 100, .wanted = 100}, Start + 3s).amount);
        CPPUNIT_ASSERT_EQUAL(100.0, m_lender.lend("a", {.least = 100, .wanted = 100}, Start + 3200ms).amount);
    }

    // Guards against callers that all return at the same moment, most of them in vain.
    void refusalCountsWhatWaitsAlready()
    {
        m_lender.open(Terms, Start);
        const auto first = m_lender.lend("a", {.least = 500, .wanted = 500}, Start);
        const auto second = m_lender.lend("a", {.least = 500, .wanted = 500}, Start);
        CPPUNIT_ASSERT(first.retryAfter == Core::Duration(500ms));
        CPPUNIT_ASSERT(second.retryAfter == Core::Duration(1000ms));
    }

    void loweredBurstCutsTheBucket()
    {
        m_lender.open(Terms, Start);
        m_lender.open({.account = "a", .ratePerSecond = 200, .burst = 200}, Start + 5s);
        CPPUNIT_ASSERT_EQUAL(200.0, m_lender.lend("a", {.least = 1, .wanted = 1000}, Start + 5s).amount);
    }

    void raisedRateIsUsableAtOnce()
    {
        m_lender.open(Terms, Start);
        m_lender.open({.account = "a", .ratePerSecond = 4000, .burst = 4000}, Start + 1s);
        CPPUNIT_ASSERT_EQUAL(4000.0, m_lender.lend("a", {.least = 1, .wanted = 9000}, Start + 2s).amount);
    }

    // Guards against an allowance of which hosts that rarely serve the account keep parts.
    void unusedLoanIsReturned()
    {
        Accounts::BorrowerBook borrower;
        CPPUNIT_ASSERT(borrower.take("a", 100, Start).outcome == Accounts::TakeOutcome::Ask);
        borrower.recordLoan("a", {.amount = 300}, Start, Start + 5ms);
        CPPUNIT_ASSERT(borrower.take("a", 100, Start + 5ms).outcome == Accounts::TakeOutcome::Taken);
        const auto later = borrower.take("a", 100, Start + 600ms);
        CPPUNIT_ASSERT(later.outcome == Accounts::TakeOutcome::Ask);
        CPPUNIT_ASSERT_EQUAL(200.0, later.loan.returned);
        CPPUNIT_ASSERT_EQUAL(0.0, borrower.take("a", 100, Start + 600ms).loan.returned);
    }

    // Guards against a message for each request of an account that sends many times its allowance.
    void refusalIsRepeatedWithoutAsking()
    {
        Accounts::BorrowerBook borrower;
        borrower.recordLoan("a", {.retryAfter = 400ms}, Start, Start);
        const auto refused = borrower.take("a", 100, Start + 100ms);
        CPPUNIT_ASSERT(refused.outcome == Accounts::TakeOutcome::Refused);
        CPPUNIT_ASSERT(refused.retryAfter == Core::Duration(300ms));
        CPPUNIT_ASSERT(borrower.take("a", 100, Start + 400ms).outcome == Accounts::TakeOutcome::Ask);
    }

    // Guards against a message for each request of a busy account.
    void loanCoversTheExpectedUse()
    {
        Accounts::BorrowerBook borrower;
        auto now = Start;
        for (int i = 0; i < 100; ++i, now += 50ms) {
            if (const auto taken = borrower.take("a", 100, now); taken.outcome == Accounts::TakeOutcome::Ask) {
                borrower.recordLoan("a", {.amount = taken.loan.wanted}, now, now);
                CPPUNIT_ASSERT(borrower.take("a", 100, now).outcome == Accounts::TakeOutcome::Taken);
            }
        }
        now += 600ms;
        const auto asked = borrower.take("a", 100, now);
        CPPUNIT_ASSERT(asked.outcome == Accounts::TakeOutcome::Ask);
        CPPUNIT_ASSERT(asked.loan.wanted > 300 && asked.loan.wanted < 800);
    }

    void withoutLenderTheLentRateGoesOn()
    {
        Accounts::BorrowerBook borrower;
        auto now = Start;
        for (; now < Start + 30s; now += 100ms) {
            borrower.recordLoan("a", {.amount = 100}, now, now);
        }
        now += 1s;
        double taken = 0;
        const auto begin = now;
        for (; now < begin + 5s; now += 10ms) {
            taken += borrower.takeUnlent("a", 100, now).outcome == Accounts::TakeOutcome::Taken ? 100 : 0;
        }
        CPPUNIT_ASSERT(taken > 3500 && taken < 5200);
    }

    // Guards against two lenders while the first one is only cut off from the second.
    void secondHostLendsOnlyAfterSilence()
    {
        Accounts::LenderRole role;
        for (auto now = Start; now < Start + 3500ms; now += 250ms) {
            CPPUNIT_ASSERT(!role.mayLend("a", 1, now));
            (void)role.shouldProbe("a", now);
        }
        CPPUNIT_ASSERT(role.mayLend("a", 1, Start + 3500ms));
        CPPUNIT_ASSERT(!role.isLending("a", 1, Start + 6s));
        role.recordLending("a");
        CPPUNIT_ASSERT(!role.mayLend("a", 1, Start + 3600ms));
        // Silence that was last checked long ago proves nothing.
        (void)role.shouldProbe("a", Start + 4s);
        (void)role.shouldProbe("a", Start + 14s);
        CPPUNIT_ASSERT(!role.mayLend("a", 1, Start + 14s));
    }

    void newFirstHostWaitsForTheOneBefore()
    {
        Accounts::LenderRole before;
        Accounts::LenderRole after;
        CPPUNIT_ASSERT(!before.mayLend("a", 0, Start));
        CPPUNIT_ASSERT(before.mayLend("a", 0, Start + 3s));
        CPPUNIT_ASSERT(!after.mayLend("a", 0, Start + 3s));
        CPPUNIT_ASSERT(before.mayLend("a", 1, Start + 4900ms));
        CPPUNIT_ASSERT(!before.mayLend("a", 1, Start + 5s));
        CPPUNIT_ASSERT(!after.mayLend("a", 0, Start + 5400ms));
        CPPUNIT_ASSERT(after.mayLend("a", 0, Start + 5500ms));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AllowanceBooksTest);
