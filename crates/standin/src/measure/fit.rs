//! Least squares.

use serde::Serialize;

/// Line through measured points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Growth for one more unit of size.
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

/// Line with the least squared distance to `points` of size and value.
///
/// Equal sizes give a level line through the mean.
pub fn fit(points: &[(f64, f64)]) -> Line {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let shared = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let slope = if spread > 0.0 {
        shared.sum::<f64>() / spread
    } else {
        0.0
    };
    Line {
        slope,
        base: mean_y - slope * mean_x,
    }
}
