"""Bundles the platform's clients, store keys and formats for the gateway."""

from __future__ import annotations

from godwitpath.gateway.settings import GatewaySettings
from godwitpath.platform import configuration, engines, headers
from godwitpath.platform.cloud import PlatformCloud
from godwitpath.platform.run_mover import PlatformRunMover
from godwitpath.platform.store import PlatformStore


class PlatformAdapter:
    """Clients, store keys and formats of the platform.

    :ivar configuration_key: store key of the operator's configuration
    :ivar configuration_prefix: store prefix that contains this key
    :ivar engines_prefix: store prefix of the engines' entries
    :ivar store: client of the store
    :ivar run_mover: client of the engines' call that moves runs
    :ivar cloud: client of the cloud API, None if the deployment has none
    """

    configuration_key = configuration.CONFIGURATION_KEY
    configuration_prefix = configuration.CONFIGURATION_PREFIX
    engines_prefix = engines.ENGINES_PREFIX

    decode_configuration = staticmethod(configuration.decode_configuration)
    decode_entry = staticmethod(engines.decode_entry)
    decode_caller = staticmethod(headers.decode_caller)
    engine_headers = staticmethod(headers.engine_headers)
    decode_engine_response = staticmethod(headers.decode_engine_response)
    own_response_headers = staticmethod(headers.own_response_headers)

    def __init__(self, settings: GatewaySettings) -> None:
        self.store = PlatformStore(settings.store_address)
        self.run_mover = PlatformRunMover()
        address = settings.cloud_address
        self.cloud = PlatformCloud(address) if address else None
