"""Generation of CURVE key pairs for instances and of bearer keys."""

import os
import pathlib

import zmq.auth

from camphorhook_common import errors
from camphorhook_common import secrets

SECRET_FOLDER = "secret"
PUBLIC_FOLDER = "public"


def make_instance_keys(folder, names):
    """Create a CURVE key pair for each instance that has no secret key.

    Args:
        folder: folder in which `secret/NAME.key_secret` and
            `public/NAME.key` are created.
        names: names of instances.

    Returns:
        The names for which key pairs were created.

    Raises:
        errors.CamphorhookError: a folder or file can't be created.
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
    """Return (key, hash) of a new random bearer key."""
    key = secrets.make_key()
    return key, secrets.hash_key(key)
