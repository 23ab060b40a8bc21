"""Fits of a cost against a size, on points whose law is known."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.fits import Kind, choose, fit, hold_out, prediction_error

SIZES = (1_000.0, 2_000.0, 5_000.0, 10_000.0, 50_000.0)
some = st.floats(0.01, 1000)


@given(some, some)
def test_a_line_is_found_again(constant: float, slope: float) -> None:
    found = fit([(size, constant + slope * size) for size in SIZES])
    assert found.slope == pytest.approx(slope, rel=1e-6)
    assert found.predict(870_000) == pytest.approx(constant + slope * 870_000, rel=1e-6)


@given(some, st.floats(0.2, 2.5))
def test_a_power_law_is_found_again_and_its_exponent_with_any_kind(scale: float, power: float) -> None:
    points = [(size, scale * size**power) for size in SIZES]
    found = fit(points, Kind.POWER)
    assert found.slope == pytest.approx(power)
    assert found.constant == pytest.approx(scale, rel=1e-6)
    assert fit(points).exponent == pytest.approx(power)


@given(some, some)
def test_n_log_n_is_found_again(constant: float, slope: float) -> None:
    found = fit([(size, constant + slope * size * math.log2(size)) for size in SIZES], Kind.N_LOG_N)
    assert found.slope == pytest.approx(slope, rel=1e-6)
    assert found.predict(4096) == pytest.approx(constant + slope * 4096 * 12, rel=1e-6)


@given(some, some)
def test_a_logarithm_is_found_again(constant: float, slope: float) -> None:
    found = fit([(size, constant + slope * math.log2(size)) for size in SIZES], Kind.LOG_N)
    assert found.slope == pytest.approx(slope, rel=1e-6)
    assert found.predict(4096) == pytest.approx(constant + slope * 12, rel=1e-6)


def test_a_constant_is_the_mean_whatever_the_size() -> None:
    found = fit([(1, 10), (2, 20), (3, 60)], Kind.CONSTANT)
    assert found.predict(1) == found.predict(1e9) == 30
    assert found.slope == 0


def test_a_line_through_points_that_are_off_it_is_the_one_of_least_squares() -> None:
    found = fit([(1, 1), (2, 3), (3, 2), (4, 5)])
    assert found.constant == pytest.approx(0.0)
    assert found.slope == pytest.approx(1.1)


def test_the_exponent_is_left_out_where_a_value_is_not_positive() -> None:
    found = fit([(1, -1), (2, 0), (3, 1)])
    assert found.exponent is None
    assert found.slope == pytest.approx(1)
    with pytest.raises(ValueError, match="positive"):
        fit([(1, 0), (2, 1)], Kind.POWER)
    for kind in (Kind.LOG_N, Kind.N_LOG_N):
        with pytest.raises(ValueError, match="positive"):
            fit([(0, 1), (2, 1)], kind)


def test_one_size_is_no_slope() -> None:
    with pytest.raises(ValueError, match="two different sizes"):
        fit([(5, 1), (5, 2)])
    with pytest.raises(ValueError, match="two different sizes"):
        hold_out([(5, 1), (6, 2)])


@pytest.mark.parametrize(
    ("kind", "law"),
    [
        (Kind.LINEAR, lambda n: 500 + 3 * n),
        (Kind.N_LOG_N, lambda n: 500 + 3 * n * math.log2(n)),
        (Kind.POWER, lambda n: 0.01 * n**1.7),
    ],
)
def test_the_kind_is_chosen_by_what_predicts_best(kind: Kind, law: object) -> None:
    assert callable(law)
    points = [(size, float(law(size))) for size in SIZES]
    assert choose(points) is kind
    assert hold_out(points).error == pytest.approx(0, abs=1e-9)


def test_with_few_sizes_a_line_is_assumed() -> None:
    assert choose([(1, 1), (2, 4)]) is Kind.LINEAR
    assert choose([(1, 1), (2, 4), (4, 16)]) is Kind.POWER
    assert choose([(0, 1), (2, 4), (4, 16)]) is Kind.LINEAR  # no logarithm of 0


def test_the_largest_size_is_predicted_without_having_been_seen() -> None:
    """Trouble: a fit that has seen what it predicts is never wrong."""
    seen = hold_out([(4, 100), (1, 10), (2, 20), (3, 30)])
    assert (seen.size, seen.measured) == (4, 100)
    assert seen.predicted == pytest.approx(40)
    assert seen.error == pytest.approx(0.6)


def test_an_error_is_relative_to_what_was_measured() -> None:
    assert prediction_error(150, 100) == prediction_error(50, 100) == 0.5
    assert prediction_error(0, 0) == 0
    with pytest.raises(ValueError, match="relative"):
        prediction_error(1, 0)
