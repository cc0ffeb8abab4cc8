from os import environ

from hypothesis import HealthCheck, settings

SLOW = [HealthCheck.too_slow, HealthCheck.data_too_large]

settings.register_profile(
    "ci", derandomize=True, deadline=None, suppress_health_check=SLOW
)
settings.register_profile(
    "long",
    deadline=None,
    max_examples=2000,
    stateful_step_count=100,
    suppress_health_check=SLOW,
)
settings.load_profile(environ.get("HYPOTHESIS_PROFILE", "ci"))
