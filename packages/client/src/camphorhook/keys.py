"""Makes keys: CURVE pairs for instances, bearer keys for people."""

import os
import pathlib

import zmq.auth

from camphorhook_common import errors
from camphorhook_common import secrets

SECRET_FOLDER = "secret"
PUBLIC_FOLDER = "public"


def make_instance_keys(folder, names):
    """Make a CURVE key pair for each name that has none.

    Args:
        folder: gets `secret/NAME.key_secret` and `public/NAME.key`.
        names: names of instances.

    Returns:
        The names for which keys were made.
    """
    secret = pathlib.Path(folder, SECRET_FOLDER)
    public = pathlib.Path(folder, PUBLIC_FOLDER)
    try:
        secret.mkdir(parents=True, exist_ok=True, mode=0o700)
        public.mkdir(parents=True, exist_ok=True)
        made = [
            name
            for name in names
            if not (secret / f"{name}.key_secret").exists()
        ]
        for name in made:
            zmq.auth.create_certificates(str(secret), name)
            os.chmod(secret / f"{name}.key_secret", 0o600)
            os.replace(secret / f"{name}.key", public / f"{name}.key")
    except OSError as error:
        raise errors.CamphorhookError(
            str(error), step="make keys", peer=str(folder)
        ) from error
    return made


def make_bearer_key():
    """Return (key, hash) of a fresh bearer key."""
    key = secrets.make_key()
    return key, secrets.hash_key(key)
