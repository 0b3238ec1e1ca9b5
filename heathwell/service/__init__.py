"""The service broker: the driver, hosts and discovery by the inner protocol, and its optional parts."""
