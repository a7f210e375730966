"""Entry process for the platform of a deployment."""

import os
import queue
import signal
import sys
import threading

# SIGHUP requests a reload of the settings. It must not end the process before the
# settings are watched.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# http.client and hashlib would load OpenSSL, which takes a third of an entry's memory.
# The platform uses plain HTTP, and hashlib provides the digests without OpenSSL.
for unused in ("ssl", "_hashlib"):
    sys.modules.setdefault(unused, None)

from monsoonline.adapters.allocator import return_large_blocks  # noqa: E402
from monsoonline.entry.fleet_service import Dialect, FleetEntryService  # noqa: E402
from monsoonline.entry.runtime_tuning import (  # noqa: E402
    limit_collection_pauses,
    wait_for_signal,
)
from monsoonline.entry.settings_watch import SettingsWatch  # noqa: E402
from monsoonline.errors import FindingsError  # noqa: E402
from monsoonline.fleet_settings import (  # noqa: E402
    load_fleet_settings,
    parse_settings,
)
from monsoonline.logs import configure_logging  # noqa: E402
from monsoonline.platform import headers  # noqa: E402
from monsoonline.platform.documents import TablesDecoder  # noqa: E402
from monsoonline.platform.store import PlatformStore  # noqa: E402

__all__ = ["DIALECT", "main"]

SETTINGS_VARIABLE = "MONSOONLINE_NODE_FILE"
USAGE_EXIT_CODE = 2
FORCED_EXIT_CODE = 1
# Time between the forced exit and the time at which the platform kills the process;
# covers a signal that is noticed up to 250 ms late.
EXIT_MARGIN_MS = 250.0
DIALECT = Dialect(
    names=headers.HEADERS,
    parse_load=headers.parse_load,
    decode_tables=TablesDecoder().decode,
    refusal_response=headers.refusal_response,
    readiness_path=headers.READINESS_PATH,
    discovery_path=headers.DISCOVERY_PATH,
    caller_domain=headers.caller_domain,
    discovery_response=headers.discovery_response,
)


def main():
    """Run one entry until SIGTERM.

    :returns: exit code if the settings are missing or invalid; otherwise the process
        exits without returning
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        print(
            f"{SETTINGS_VARIABLE} is not set, expected the path of the settings file",
            file=sys.stderr,
        )
        return USAGE_EXIT_CODE
    try:
        settings = load_fleet_settings(path)
    except FindingsError as error:
        print(str(error), file=sys.stderr)
        return USAGE_EXIT_CODE
    return_large_blocks()
    logs = configure_logging(settings.log_level, entry=settings.name)
    service = FleetEntryService(
        settings=settings,
        dialect=DIALECT,
        store=PlatformStore(address=settings.store),
    )
    received = queue.SimpleQueue()
    signal.signal(signal.SIGTERM, lambda number, _: received.put(number))
    watch = SettingsWatch(
        path=path, parse=parse_settings, on_change=service.use_settings
    )
    signal.signal(signal.SIGHUP, lambda *_: watch.check_soon())
    service.start()
    watch.start()
    limit_collection_pauses()
    wait_for_signal(received)
    # Ends the process before the platform kills it, even if the graceful stop hangs.
    watchdog = threading.Timer(
        (service.settings.stop_limit_ms - EXIT_MARGIN_MS) / 1e3,
        os._exit,
        (FORCED_EXIT_CODE,),
    )
    watchdog.daemon = True
    watchdog.start()
    report = service.stop()
    logs.close()
    # A normal exit would wait for the threads of connections that are still open.
    os._exit(report.exit_code)
