"""The manifest of a version is spoilt; see claim.txt."""

import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import rollout
from deployment import TROUBLE


def disturb(origin):
    if TROUBLE:
        # One answer each, if all stagers ask the origin and not each other.
        origin.spoil = rollout.REPLICAS


sys.exit(rollout.play(HERE, disturb))
