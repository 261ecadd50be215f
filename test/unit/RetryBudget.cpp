#include "RetryBudget.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against retries that amplify the load during an outage.
TEST_CASE("retries stay within a tenth of the requests after the burst")
{
  RetryBudget budget;
  int taken = 0;
  while (budget.TryTake()) {
    ++taken;
  }
  CHECK(taken == 20);
  for (int request = 0; request < 1000; ++request) {
    budget.OnRequest();
    taken += budget.TryTake() ? 1 : 0;
  }
  CHECK(taken == 120);
}

// Guards against a budget that grows without bound while no retries are made.
TEST_CASE("the budget never exceeds the burst")
{
  RetryBudget budget;
  for (int request = 0; request < 10000; ++request) {
    budget.OnRequest();
  }
  budget.Return();
  CHECK(budget.Available() == 2000);
}

// Guards against retries from the initial burst although the operators have set
// the retry percentage to zero.
TEST_CASE("a retry percentage of zero allows no retries")
{
  RetryOptions options;
  options.percent = 0;
  RetryBudget budget(options);
  budget.OnRequest();
  CHECK_FALSE(budget.TryTake());
}

// Guards against synchronized retries and against an overflow when the backoff
// is doubled.
TEST_CASE("the backoff doubles up to its bound, with jitter")
{
  const RetryBudget budget;
  Random random(11);
  Duration longest{ 0 };
  for (int draw = 0; draw < 200; ++draw) {
    const Duration first = budget.Backoff(1, random);
    CHECK(first >= Duration(0));
    CHECK(first < milliseconds(2));
    CHECK(budget.Backoff(4, random) < milliseconds(16));
    longest = std::max(longest, budget.Backoff(4000000000, random));
  }
  CHECK(longest > milliseconds(150));
  CHECK(longest < milliseconds(200));
}

// Guards against an attempt timeout so short that it cuts off requests that are
// merely large, and against a timeout that leaves no time for the next attempt.
TEST_CASE("an attempt times out only if time is left for another")
{
  const RetryOptions options;
  const Duration usual = milliseconds(40);
  const Duration slow = milliseconds(200);
  CHECK(AttemptTimeout(options, usual, slow, seconds(2)) == seconds(1));
  CHECK_FALSE(AttemptTimeout(options, usual, slow, milliseconds(1050)));
  CHECK_FALSE(AttemptTimeout(options, usual, Duration(0), seconds(2)));
}
