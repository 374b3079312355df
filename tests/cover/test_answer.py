"""Tests of token numbering over attempts: once, in order, without gaps."""

import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide.requests import answer
from guavachute import ids

REQUEST = ids.RequestId('req-1')
ATTEMPTS = ('att-0', 'att-1')

EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(('req-1', 'req-2')),
        strategies.sampled_from(ATTEMPTS),
        strategies.integers(0, 6),
    ),
    max_size=40,
)


def token(index: int) -> str:
    return f' t{index}'


class AnswerTest(unittest.TestCase):
    @hypothesis.given(events=EVENTS, switch_after=strategies.integers(0, 40))
    def test_whatever_arrives_the_text_is_a_prefix_of_the_answer(
        self, events: list[tuple[str, str, int]], switch_after: int
    ) -> None:
        mine = answer.Answer(REQUEST)
        mine.begin_attempt(ids.AttemptId(ATTEMPTS[0]))
        for place, (request, attempt, index) in enumerate(events):
            if place == switch_after:
                mine.begin_attempt(ids.AttemptId(ATTEMPTS[1]))
            before = mine.next_index
            step = mine.handle_event(
                request, attempt, index, token(index), False
            )
            crossed = request != REQUEST or attempt != mine.attempt_id
            if crossed:
                self.assertIs(answer.Step.DROP, step)
            if step is answer.Step.FORWARD:
                self.assertEqual(before, index)
            else:
                self.assertEqual(before, mine.next_index)
        expected = ''.join(token(index) for index in range(mine.next_index))
        self.assertEqual(expected, mine.text)

    def test_a_missing_token_asks_for_a_resume(self) -> None:
        mine = answer.Answer(REQUEST)
        mine.begin_attempt(ids.AttemptId('att-0'))
        step = mine.handle_event('req-1', 'att-0', 1, token(1), False)
        self.assertIs(answer.Step.RESUME, step)

    def test_nothing_is_taken_after_the_last_event(self) -> None:
        mine = answer.Answer(REQUEST)
        mine.begin_attempt(ids.AttemptId('att-0'))
        mine.handle_event('req-1', 'att-0', 0, token(0), False)
        last = mine.handle_event('req-1', 'att-0', 1, '', True)
        self.assertIs(answer.Step.FORWARD, last)
        late = mine.handle_event('req-1', 'att-0', 1, token(1), False)
        self.assertIs(answer.Step.DROP, late)

    def test_tokens_made_again_for_a_new_router_are_not_shown(self) -> None:
        mine = answer.Answer(REQUEST, deliver_from=2)
        mine.begin_attempt(ids.AttemptId('att-0'))
        steps = [
            mine.handle_event('req-1', 'att-0', index, token(index), False)
            for index in range(4)
        ]
        hide, show = answer.Step.HIDE, answer.Step.FORWARD
        self.assertEqual([hide, hide, show, show], steps)

    def test_a_text_that_the_caller_sent_along_is_not_made_again(
        self,
    ) -> None:
        mine = answer.Answer(REQUEST, 2, known_text=' t0 t1')
        mine.begin_attempt(ids.AttemptId('att-0'))
        step = mine.handle_event('req-1', 'att-0', 2, token(2), False)
        self.assertIs(answer.Step.FORWARD, step)
        self.assertEqual(' t0 t1 t2', mine.text)

    @hypothesis.given(index=strategies.integers(0, 10**6))
    def test_an_event_id_reads_back(self, index: int) -> None:
        text = answer.event_id(REQUEST, index)
        self.assertEqual((REQUEST, index), answer.parse_event_id(text))

    @hypothesis.given(text=strategies.text())
    def test_a_foreign_event_id_is_refused(self, text: str) -> None:
        hypothesis.assume(not text.strip().startswith('req-'))
        self.assertIsNone(answer.parse_event_id(text))
