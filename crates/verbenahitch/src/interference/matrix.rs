//! A small symmetric matrix that grows one row and column at a time.

/// Symmetric matrix, stored as its lower triangle.
#[derive(Clone, Debug, Default)]
pub(super) struct Symmetric {
    rows: Vec<Vec<f64>>,
}

impl Symmetric {
    /// Number of rows.
    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Adds a row and a column of zeros.
    pub(super) fn grow(&mut self) {
        self.rows.push(vec![0.0; self.rows.len() + 1]);
    }

    /// Diagonal element.
    pub(super) fn diagonal(&self, at: usize) -> f64 {
        self.rows[at][at]
    }

    /// Adds `amount` to an element and to its mirror image.
    pub(super) fn add(&mut self, row: usize, column: usize, amount: f64) {
        let (row, column) = (row.max(column), row.min(column));
        self.rows[row][column] += amount;
    }

    /// Adds `weight` times the outer product of a sparse vector with itself.
    pub(super) fn add_outer(&mut self, vector: &[(usize, f64)], weight: f64) {
        for (at, (row, x)) in vector.iter().enumerate() {
            for (column, y) in &vector[..=at] {
                self.add(*row, *column, weight * x * y);
            }
        }
    }

    /// Multiplies every element by `factor`.
    pub(super) fn scale(&mut self, factor: f64) {
        for element in self.rows.iter_mut().flatten() {
            *element *= factor;
        }
    }

    /// Solves `self * x = right` for a positive definite matrix by Cholesky factorization.
    pub(super) fn solve(mut self, right: &[f64]) -> Vec<f64> {
        self.factor();
        let mut x = right.to_vec();
        for row in 0..self.len() {
            let sum: f64 = (0..row).map(|k| self.rows[row][k] * x[k]).sum();
            x[row] = (x[row] - sum) / self.rows[row][row];
        }
        for row in (0..self.len()).rev() {
            let sum: f64 = (row + 1..self.len())
                .map(|k| self.rows[k][row] * x[k])
                .sum();
            x[row] = (x[row] - sum) / self.rows[row][row];
        }
        x
    }

    fn factor(&mut self) {
        for row in 0..self.len() {
            for column in 0..=row {
                let sum: f64 = (0..column)
                    .map(|k| self.rows[row][k] * self.rows[column][k])
                    .sum();
                let rest = self.rows[row][column] - sum;
                self.rows[row][column] = if row == column {
                    rest.max(f64::MIN_POSITIVE).sqrt()
                } else {
                    rest / self.rows[column][column]
                };
            }
        }
    }
}
