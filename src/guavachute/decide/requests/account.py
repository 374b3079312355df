"""Corrects what a request was charged while its answer streams."""


class Account:
    """The charge of one request, paid in advance by expectation.

    :param expected_generated_tokens: what was charged at the start
    """

    __slots__ = ('_charged_tokens', '_generated_tokens')

    def __init__(self, expected_generated_tokens: float) -> None:
        self._charged_tokens = expected_generated_tokens
        self._generated_tokens = 0.0

    def generated(self, tokens: int) -> float:
        """What to charge after *tokens* more; 0 while prepaid."""
        self._generated_tokens += tokens
        due = max(0.0, self._generated_tokens - self._charged_tokens)
        self._charged_tokens += due
        return due

    def ended(self, prompt_correction_tokens: float = 0.0) -> float:
        """The last correction, mostly negative.

        :param prompt_correction_tokens: uncached prompt tokens by the
            engine's usage less those that were expected
        """
        unused = self._charged_tokens - self._generated_tokens
        self._charged_tokens = self._generated_tokens
        return prompt_correction_tokens - unused
