"""Proves that a peer has the shared key without revealing the key.

Each side sends a random challenge and answers the other's with a keyed
hash over both challenges, both names and its own role. The role prevents
reflection attacks, in which an answer is sent back to its maker.

The proof covers only the start of a connection. Later messages are
neither signed nor encrypted, so whoever can modify packets between entry
VMs could take over a connection. The network must prevent that.
"""

import enum
import hashlib
import hmac

from guavachute.wire import gossip


class Role(enum.Enum):
    """The side of the connection that makes a proof."""

    DIALER = 'dialer'
    ACCEPTOR = 'acceptor'


def prove(
    key: bytes, role: Role, prover: gossip.Hello, verifier: gossip.Hello
) -> gossip.Proof:
    """The proof that *prover* sends to *verifier*."""
    parts = [
        role.value,
        prover.environment,
        prover.node,
        prover.challenge,
        verifier.node,
        verifier.challenge,
    ]
    # The length prefixes keep different parts from being encoded as the
    # same text.
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

    Several keys are valid while operators rotate them.
    """
    return any(
        hmac.compare_digest(
            proof.mac.encode(),
            prove(key, role, prover, verifier).mac.encode(),
        )
        for key in keys
    )
