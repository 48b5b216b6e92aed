"""Two pieces of the named weights are equal; see claim.txt."""

import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import rollout
from deployment import TROUBLE


def disturb(origin):
    if TROUBLE:
        origin.weights.equal[(2, 57)] = (2, 40)


sys.exit(rollout.play(HERE, disturb))
