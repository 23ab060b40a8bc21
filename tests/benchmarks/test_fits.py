"""Fits on points whose law is known."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.fits import Law, choose_law, fit, hold_out, prediction_error

SIZES = (1_000.0, 2_000.0, 5_000.0, 10_000.0, 50_000.0)
positive_floats = st.floats(0.01, 1000)


@given(positive_floats, positive_floats)
def test_fit_of_linear_points_recovers_the_line(constant: float, slope: float) -> None:
    fitted = fit([(size, constant + slope * size) for size in SIZES])
    assert fitted.slope == pytest.approx(slope, rel=1e-6)
    assert fitted.predict(870_000) == pytest.approx(constant + slope * 870_000, rel=1e-6)


@given(positive_floats, st.floats(0.2, 2.5))
def test_fit_of_power_law_points_recovers_the_exponent_with_any_law(scale: float, power: float) -> None:
    points = [(size, scale * size**power) for size in SIZES]
    fitted = fit(points, Law.POWER)
    assert fitted.slope == pytest.approx(power)
    assert fitted.constant == pytest.approx(scale, rel=1e-6)
    assert fit(points).exponent == pytest.approx(power)


@given(positive_floats, positive_floats)
def test_fit_of_n_log_n_points_recovers_the_parameters(constant: float, slope: float) -> None:
    fitted = fit([(size, constant + slope * size * math.log2(size)) for size in SIZES], Law.N_LOG_N)
    assert fitted.slope == pytest.approx(slope, rel=1e-6)
    assert fitted.predict(4096) == pytest.approx(constant + slope * 4096 * 12, rel=1e-6)


@given(positive_floats, positive_floats)
def test_fit_of_logarithmic_points_recovers_the_parameters(constant: float, slope: float) -> None:
    fitted = fit([(size, constant + slope * math.log2(size)) for size in SIZES], Law.LOG_N)
    assert fitted.slope == pytest.approx(slope, rel=1e-6)
    assert fitted.predict(4096) == pytest.approx(constant + slope * 12, rel=1e-6)


def test_fit_of_a_constant_is_the_mean_at_any_size() -> None:
    fitted = fit([(1, 10), (2, 20), (3, 60)], Law.CONSTANT)
    assert fitted.predict(1) == fitted.predict(1e9) == 30
    assert fitted.slope == 0


def test_fit_of_scattered_points_is_the_least_squares_line() -> None:
    fitted = fit([(1, 1), (2, 3), (3, 2), (4, 5)])
    assert fitted.constant == pytest.approx(0.0)
    assert fitted.slope == pytest.approx(1.1)


def test_fit_of_values_that_are_not_positive_has_no_exponent() -> None:
    fitted = fit([(1, -1), (2, 0), (3, 1)])
    assert fitted.exponent is None
    assert fitted.slope == pytest.approx(1)
    with pytest.raises(ValueError, match="positive"):
        fit([(1, 0), (2, 1)], Law.POWER)
    for law in (Law.LOG_N, Law.N_LOG_N):
        with pytest.raises(ValueError, match="positive"):
            fit([(0, 1), (2, 1)], law)


def test_fit_of_one_size_raises_value_error() -> None:
    with pytest.raises(ValueError, match="two different sizes"):
        fit([(5, 1), (5, 2)])
    with pytest.raises(ValueError, match="two different sizes"):
        hold_out([(5, 1), (6, 2)])


@pytest.mark.parametrize(
    ("law", "function"),
    [
        (Law.LINEAR, lambda n: 500 + 3 * n),
        (Law.N_LOG_N, lambda n: 500 + 3 * n * math.log2(n)),
        (Law.POWER, lambda n: 0.01 * n**1.7),
    ],
)
def test_choose_law_returns_the_law_with_the_best_prediction(law: Law, function: object) -> None:
    assert callable(function)
    points = [(size, float(function(size))) for size in SIZES]
    assert choose_law(points) is law
    assert hold_out(points).error == pytest.approx(0, abs=1e-9)


def test_choose_law_with_few_sizes_or_a_size_of_zero_is_linear() -> None:
    assert choose_law([(1, 1), (2, 4)]) is Law.LINEAR
    assert choose_law([(1, 1), (2, 4), (4, 16)]) is Law.POWER
    assert choose_law([(0, 1), (2, 4), (4, 16)]) is Law.LINEAR  # no logarithm of 0


def test_hold_out_predicts_the_largest_size_from_the_others_alone() -> None:
    """A fit that includes the value that it predicts has no meaningful error."""
    held_out = hold_out([(4, 100), (1, 10), (2, 20), (3, 30)])
    assert (held_out.size, held_out.measured) == (4, 100)
    assert held_out.predicted == pytest.approx(40)
    assert held_out.error == pytest.approx(0.6)


def test_prediction_error_is_relative_to_the_measured_value() -> None:
    assert prediction_error(150, 100) == prediction_error(50, 100) == 0.5
    assert prediction_error(0, 0) == 0
    with pytest.raises(ValueError, match="no relative error of 1"):
        prediction_error(1, 0)
