"""Ids of submissions: issued by the owner before the work is submitted, verified by any host.

The text is ``<owner>.<incarnation>.<sequence>.<expiry>.<witness>.<witness incarnation>.<mac>``.
The message authentication code (MAC) at the end also covers the caller's name, so an id is valid
only for the caller that it was issued to.
"""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass

from result import Err, Ok, Result

from ._outcomes import Reason

MAC_BYTES = 8
MAX_ID_LENGTH = 256
MAX_IDS_PER_CALL = 1000
NO_WITNESS = "-"
_FIELDS = 7


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmissionId:
    """The fields of an id.

    :param owner: name of the host that alone may start the submission.
    :param incarnation: incarnation of the owner.
    :param sequence: number of the id at the owner's incarnation.
    :param expires_at: seconds of the Unix epoch.
    :param witness: name of the witness, or None if no other host was alive.
    :param witness_incarnation: incarnation of the witness; 0 without one.
    """

    owner: str
    incarnation: int
    sequence: int
    expires_at: int
    witness: str | None
    witness_incarnation: int

    def is_expired(self, now: float) -> bool:
        """Return whether the id has expired.

        From then on no task may be started and no verdict given, as its records may be gone.
        """
        return now >= self.expires_at


def issue_id(fields: SubmissionId, *, caller: str, key: bytes) -> str:
    """Return the text of an id, with a MAC for one caller.

    :raises ValueError: if a host name contains the separator of the fields.
    """
    witness = NO_WITNESS if fields.witness is None else fields.witness
    if "." in fields.owner or "." in witness:
        raise ValueError(f"host name contains a dot: {fields.owner!r} or {witness!r}")
    text = (
        f"{fields.owner}.{fields.incarnation}.{fields.sequence}.{fields.expires_at}"
        f".{witness}.{fields.witness_incarnation}"
    )
    return f"{text}.{_mac(text, caller, key)}"


def parse_id(text: str) -> SubmissionId | None:
    """Return the fields of an id without checking its MAC, or None for a malformed text."""
    parts = text.split(".") if len(text) <= MAX_ID_LENGTH else []
    if len(parts) != _FIELDS:
        return None
    owner, incarnation, sequence, expiry, witness, witness_incarnation, _ = parts
    numbers = (incarnation, sequence, expiry, witness_incarnation)
    if not owner or not witness or not all(n.isascii() and n.isdigit() for n in numbers):
        return None
    return SubmissionId(
        owner=owner,
        incarnation=int(incarnation),
        sequence=int(sequence),
        expires_at=int(expiry),
        witness=None if witness == NO_WITNESS else witness,
        witness_incarnation=int(witness_incarnation),
    )


def verify_id(text: str, *, caller: str, key: bytes) -> Result[SubmissionId, Reason]:
    """Return the fields of an id if the site issued it to the caller, otherwise a reason.

    A wrong MAC is reported as ``Reason.FOREIGN_ID``: a forged id and one issued to another caller
    cannot be distinguished.
    """
    fields = parse_id(text)
    if fields is None or not text.isascii():
        return Err(Reason.ID_INVALID)
    body, _, mac = text.rpartition(".")
    if not hmac.compare_digest(mac, _mac(body, caller, key)):
        return Err(Reason.FOREIGN_ID)
    return Ok(fields)


def _mac(text: str, caller: str, key: bytes) -> str:
    message = f"{text}\0{caller}".encode()
    return hashlib.blake2s(message, key=key, digest_size=MAC_BYTES).hexdigest()
