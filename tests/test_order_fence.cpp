/** @file test_order_fence.cpp Tokens of orders to a box, and acknowledgements of ends. */
#include "../src/jobs/order_fence.h"

#include <doctest/doctest.h>

namespace {

constexpr FenceToken FIRST(1000);
constexpr uint64_t COUNT = 10;
constexpr Millis SENT_AT(5000);
constexpr Millis SOON(5400);
const RunNumber RUN(1);

/** @return A task. @param index Its index in its step. */
TaskId Task(uint32_t index)
{
	return TaskId{JobId("00000000000000aa"), 0, 0, index};
}

} // namespace

TEST_CASE("no acknowledgement is sent while a start order has no answer, since it would be carried out after the start")
{
	OrderFence fence(FIRST, COUNT);
	CHECK(fence.MayAcknowledge(SENT_AT));
	CHECK(fence.ForStart(Task(0), RUN, SENT_AT) == FIRST);
	CHECK(fence.StartsUnderWay());
	CHECK_FALSE(fence.MayAcknowledge(SENT_AT));
	fence.OnStartAnswered(Task(0), RUN, OrderOutcome::OO_UNKNOWN);
	CHECK_FALSE(fence.StartsUnderWay());
	CHECK_FALSE(fence.MayAcknowledge(SENT_AT + ORDER_DELAY_MAX - Millis(1)));
	CHECK(fence.MayAcknowledge(SENT_AT + ORDER_DELAY_MAX));
}

TEST_CASE("an answer or a list settles a start order, so that ends are acknowledged soon")
{
	OrderFence fence(FIRST, COUNT);
	static_cast<void>(fence.ForStart(Task(0), RUN, SENT_AT));
	fence.OnStartAnswered(Task(0), RUN, OrderOutcome::OO_NO_ROOM);
	CHECK(fence.MayAcknowledge(SOON));
	static_cast<void>(fence.ForStart(Task(1), RUN, SENT_AT));
	fence.OnStartAnswered(Task(1), RUN, OrderOutcome::OO_UNKNOWN);
	fence.OnRunListed(Task(1), RUN);
	CHECK(fence.MayAcknowledge(SOON));
	/* A list may arrive before the answer is given up. */
	static_cast<void>(fence.ForStart(Task(2), RUN, SENT_AT));
	fence.OnRunListed(Task(2), RUN);
	CHECK(fence.MayAcknowledge(SOON));
	fence.OnStartAnswered(Task(2), RUN, OrderOutcome::OO_UNKNOWN);
	CHECK(fence.MayAcknowledge(SOON));
}

TEST_CASE("a start order whose repetition was answered may still be carried out by the next incarnation")
{
	OrderFence fence(FIRST, COUNT);
	static_cast<void>(fence.ForStart(Task(0), RUN, SENT_AT));
	fence.OnStartAnswered(Task(0), RUN, OrderOutcome::OO_UNKNOWN);
	static_cast<void>(fence.ForStart(Task(0), RUN, SOON));
	SUBCASE("the answer comes before the list")
	{
		fence.OnStartAnswered(Task(0), RUN, OrderOutcome::OO_DONE);
		fence.OnRunListed(Task(0), RUN);
	}
	SUBCASE("the list comes before the answer")
	{
		fence.OnRunListed(Task(0), RUN);
		fence.OnStartAnswered(Task(0), RUN, OrderOutcome::OO_DONE);
	}
	CHECK_FALSE(fence.MayAcknowledge(SOON));
	CHECK(fence.MayAcknowledge(SOON + ORDER_DELAY_MAX));
}

TEST_CASE("a start order has a higher token than an acknowledgement that may still be carried out")
{
	OrderFence fence(FIRST, COUNT);
	const FenceToken acknowledgement = fence.ForAcknowledgement(SENT_AT);
	CHECK(fence.ForOrder(SENT_AT) == acknowledgement);
	const FenceToken start = fence.ForStart(Task(0), RUN, SENT_AT);
	CHECK(acknowledgement < start);
	CHECK(fence.ForStart(Task(1), RUN, SENT_AT) == start);
	fence.OnStartAnswered(Task(0), RUN, OrderOutcome::OO_DONE);
	fence.OnStartAnswered(Task(1), RUN, OrderOutcome::OO_DONE);
	/* Once it is known to be done, it can't be carried out again. */
	const FenceToken next = fence.ForAcknowledgement(SENT_AT);
	CHECK(next == start);
	fence.OnAcknowledged(acknowledgement);
	CHECK(next < fence.ForStart(Task(2), RUN, SENT_AT));
	fence.OnStartAnswered(Task(2), RUN, OrderOutcome::OO_DONE);
	const FenceToken third = fence.ForAcknowledgement(SENT_AT);
	fence.OnAcknowledged(third);
	CHECK(fence.ForStart(Task(3), RUN, SENT_AT) == third);
}

TEST_CASE("tokens stay below those of the next ownership")
{
	OrderFence fence(FIRST, COUNT);
	for (uint64_t n = 0; n < 2 * COUNT; n++) {
		fence.Raise();
	}
	CHECK(fence.UsedUp());
	CHECK(fence.Token() == FenceToken(FIRST.Value() + COUNT - 1));
}

TEST_CASE("tokens of an id are kept while an order may still be carried out")
{
	OrderFence fence(FIRST, COUNT);
	static_cast<void>(fence.ForOrder(SENT_AT));
	CHECK_FALSE(fence.Idle(SENT_AT + ORDER_DELAY_MAX - Millis(1)));
	CHECK(fence.Idle(SENT_AT + ORDER_DELAY_MAX));
}

TEST_CASE("tokens of an id are kept while a start order has no answer, however late it is noticed")
{
	OrderFence fence(FIRST, COUNT);
	static_cast<void>(fence.ForStart(Task(0), RUN, SENT_AT));
	CHECK_FALSE(fence.Idle(SENT_AT + ORDER_DELAY_MAX));
	fence.OnStartAnswered(Task(0), RUN, OrderOutcome::OO_UNKNOWN);
	CHECK(fence.Idle(SENT_AT + ORDER_DELAY_MAX));
}

TEST_CASE("a lost acknowledgement is not taken for done when a later one is")
{
	OrderFence fence(FIRST, COUNT);
	const FenceToken lost = fence.ForAcknowledgement(SENT_AT);
	const FenceToken done = fence.ForAcknowledgement(SOON);
	fence.OnAcknowledged(done);
	CHECK(lost < fence.ForStart(Task(0), RUN, SOON));
}
