"""Conversion of the platform's weights, which may be fractions, to integers."""

__all__ = ["scale_weights"]

# Weights in documents are integers; those of the platform may be fractions.
WEIGHT_SCALE = 100
MAX_WEIGHT = 1_000_000
# Largest error of a weight that is rounded to an integer, as a share of the weight.
MAX_WEIGHT_ERROR = 0.01


def scale_weights(weights: list[float]) -> list[int]:
    """Return integers in the proportions of the weights.

    Examples
    --------
    >>> scale_weights([90, 10]), scale_weights([90_000, 10_000])
    ([9000, 1000], [1000000, 111111])
    >>> scale_weights([0.001, 0.003, 0])
    [333333, 1000000, 0]
    """
    largest = max(weights, default=0)
    scaled = [weight * WEIGHT_SCALE for weight in weights]
    is_exact = largest * WEIGHT_SCALE <= MAX_WEIGHT and all(
        abs(round(weight) - weight) <= MAX_WEIGHT_ERROR * weight for weight in scaled
    )
    if not is_exact:
        scaled = [weight / largest * MAX_WEIGHT for weight in weights]
    return [round(weight) for weight in scaled]
