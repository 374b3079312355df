"""Proofs that a peer holds the shared key, without showing it.

Each side sends a random challenge and answers the other's with a keyed
hash over both challenges, both names and its own role. The role keeps
an answer from being reflected to the side that made it.

The proof covers the start of a connection only. What follows is neither
signed nor encrypted: whoever can change packets between entry VMs could
take a connection over. The network between them must prevent that.
"""

import enum
import hashlib
import hmac

from guavachute.wire import gossip


class Role(enum.Enum):
    """Which end of the connection proves."""

    DIALER = 'dialer'
    ACCEPTOR = 'acceptor'


def prove(
    key: bytes, role: Role, prover: gossip.Hello, verifier: gossip.Hello
) -> gossip.Proof:
    """The proof of *prover* for *verifier*."""
    parts = [
        role.value,
        prover.environment,
        prover.node,
        prover.challenge,
        verifier.node,
        verifier.challenge,
    ]
    # The length before each part keeps two different lists of parts
    # from giving the same text.
    text = ''.join(f'{len(part)}:{part}' for part in parts)
    return gossip.Proof(
        mac=hmac.new(key, text.encode(), hashlib.sha256).hexdigest()
    )


def is_valid(
    proof: gossip.Proof,
    keys: tuple[bytes, ...],
    role: Role,
    prover: gossip.Hello,
    verifier: gossip.Hello,
) -> bool:
    """Whether *proof* was made with any of *keys*.

    Several keys are accepted while operators replace one by another.
    """
    return any(
        hmac.compare_digest(
            proof.mac.encode(),
            prove(key, role, prover, verifier).mac.encode(),
        )
        for key in keys
    )
