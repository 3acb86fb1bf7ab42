//! Linear least squares, for slopes over several sizes.

use super::float_from_usize;

/// Coefficients of the linear combination of `N` factors with the least squared error to the
/// measured values.
///
/// # Panics
///
/// Panics if the factors do not determine the coefficients.
pub fn fit<const N: usize>(points: &[([f64; N], f64)]) -> [f64; N] {
    // The normal equations, which Gauss-Jordan elimination solves.
    let mut rows = [[0.0; N]; N];
    let mut sums = [0.0; N];
    for (factors, value) in points {
        for i in 0..N {
            for j in 0..N {
                rows[i][j] += factors[i] * factors[j];
            }
            sums[i] += factors[i] * value;
        }
    }
    for i in 0..N {
        let pivot = rows[i][i];
        assert!(
            pivot.abs() > 1e-9,
            "the sizes do not determine the coefficients"
        );
        for j in 0..N {
            if i == j {
                continue;
            }
            let factor = rows[j][i] / pivot;
            let row = rows[i];
            for (cell, above) in rows[j].iter_mut().zip(row) {
                *cell -= factor * above;
            }
            sums[j] -= factor * sums[i];
        }
    }
    std::array::from_fn(|i| sums[i] / rows[i][i])
}

/// Root mean square of the residuals.
pub fn residual<const N: usize>(points: &[([f64; N], f64)], coefficients: &[f64; N]) -> f64 {
    let square = |(factors, value): &([f64; N], f64)| {
        let sum: f64 = factors.iter().zip(coefficients).map(|(a, b)| a * b).sum();
        (sum - value).powi(2)
    };
    let sum: f64 = points.iter().map(square).sum();
    (sum / float_from_usize(points.len())).sqrt()
}
