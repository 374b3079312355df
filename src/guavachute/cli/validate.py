"""``guavachute validate``: checks a document without publishing it."""

import dataclasses
import pathlib

import cappa

from guavachute.cli import process
from guavachute.document import check


@cappa.command(name='validate', help='Check a document.')
@dataclasses.dataclass
class ValidateCommand:
    """Check a document and print its digest, or its problems."""

    file: pathlib.Path
    """The document, a JSON file."""

    def __call__(self) -> int:
        """Run the command and return the exit status."""
        checked = load_document(self.file)
        print(f'{self.file}: valid, digest {checked.digest}')
        return 0


def load_document(path: pathlib.Path) -> check.Checked:
    """Load and check a document; ends the program if it is invalid."""
    try:
        text = path.read_bytes()
    except OSError as error:
        process.fail(f'{path}: {error.strerror}', process.EXIT_USAGE)
    checked = check.check_bytes(text)
    if isinstance(checked, check.Checked):
        return checked
    for problem in checked[1:]:
        print(f'{path}: {problem}')
    process.fail(f'{path}: {checked[0]}')
