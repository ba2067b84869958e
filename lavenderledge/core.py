"""The command-line tool's main function."""

from collections import abc

from lavenderledge import environment, status


def main(
    args: abc.Sequence[str], env: environment.Environment
) -> status.ExitStatus:
    """Run one command and return its exit status."""
    env.stdout.write(f'{args}\n')
    return status.ExitStatus.SUCCESS
