"""Entry point of a node on the users' platform: ``python -m lentilsill.platform``."""

import gc

# Imported modules are never freed, so garbage collections during the imports would
# free nothing and take a tenth of the startup time. `run_node` enables the collector
# again.
gc.disable()

import os  # noqa: E402
import sys  # noqa: E402

from lentilsill.daemon.program import EXIT_BAD_SETTINGS, run_node  # noqa: E402
from lentilsill.findings import FindingsError  # noqa: E402

from .integration import PLATFORM_INTEGRATION  # noqa: E402
from .settings_file import SETTINGS_VARIABLE, load_platform_settings  # noqa: E402


def main() -> int:
    """Run the node that the platform's settings file describes."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        cfg = load_platform_settings(path)
    except FindingsError as exc:
        for finding in exc.findings:
            print(finding, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    return run_node(cfg, PLATFORM_INTEGRATION, lambda: load_platform_settings(path))


if __name__ == "__main__":
    sys.exit(main())
