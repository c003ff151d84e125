"""Everything of the platform that the gateway is given, in one object."""

from __future__ import annotations

from godwitpath.gateway.settings import GatewaySettings
from godwitpath.platform import configuration, engines, headers
from godwitpath.platform.cloud import PlatformCloud
from godwitpath.platform.runs import PlatformRuns
from godwitpath.platform.store import PlatformStore


class PlatformWire:
    """The platform's clients, keys and formats.

    :ivar store: client of the store
    :ivar runs: the engines' calls about runs
    :ivar cloud: client of the cloud API, None where the deployment has none
    """

    configuration_key = configuration.CONFIGURATION_KEY
    configuration_prefix = configuration.CONFIGURATION_PREFIX
    engines_prefix = engines.ENGINES_PREFIX

    decode_configuration = staticmethod(configuration.decode_configuration)
    decode_entry = staticmethod(engines.decode_entry)
    decode_caller = staticmethod(headers.decode_caller)
    engine_headers = staticmethod(headers.engine_headers)
    read_verdict = staticmethod(headers.read_verdict)
    refusal_headers = staticmethod(headers.refusal_headers)

    def __init__(self, settings: GatewaySettings) -> None:
        self.store = PlatformStore(settings.store_address)
        self.runs = PlatformRuns()
        address = settings.cloud_address
        self.cloud = PlatformCloud(address) if address else None
