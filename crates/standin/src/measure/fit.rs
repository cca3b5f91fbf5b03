//! Linear regression by least squares.

use serde::Serialize;

/// Line fitted to measured points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Increase per unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub base: f64,
}

impl Line {
    /// Value at `size`.
    pub fn at(self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// Least-squares line of the values over the sizes in `points`.
///
/// Equal sizes give a horizontal line through the mean.
pub fn fit(points: &[(f64, f64)]) -> Line {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let squares: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let products = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let slope = if squares > 0.0 {
        products.sum::<f64>() / squares
    } else {
        0.0
    };
    Line {
        slope,
        base: mean_y - slope * mean_x,
    }
}
