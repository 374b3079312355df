"""Corrects the token charge of a request while its answer streams."""


class Account:
    """The token charge of one request.

    The expected number of generated tokens is charged when the request
    starts; the methods return the corrections to apply afterwards.

    :param expected_generated_tokens: generated tokens charged at the start
    """

    __slots__ = ('_charged_tokens', '_generated_tokens')

    def __init__(self, expected_generated_tokens: float) -> None:
        self._charged_tokens = expected_generated_tokens
        self._generated_tokens = 0.0

    def charge_generated(self, tokens: int) -> float:
        """Record *tokens* more and return the tokens to charge for them.

        The result is 0 until the tokens charged in advance are used up.
        """
        self._generated_tokens += tokens
        due = max(0.0, self._generated_tokens - self._charged_tokens)
        self._charged_tokens += due
        return due

    def settle(self, prompt_correction_tokens: float = 0.0) -> float:
        """Return the final correction in tokens when the request ends.

        It is usually negative, which refunds tokens that were charged but
        not generated.

        :param prompt_correction_tokens: uncached prompt tokens that the
            engine reported, minus those that were expected
        """
        unused = self._charged_tokens - self._generated_tokens
        self._charged_tokens = self._generated_tokens
        return prompt_correction_tokens - unused
