//! Table and machine-readable form of an experiment.

use std::fmt;

use serde::Serialize;

use super::fit::{Line, fit};

/// Measurement at one size.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Row {
    /// Workers, starts per second, or requests per second.
    pub size: f64,
    /// CPU time of the scheduler, in percent of a core.
    pub scheduler_cpu: f64,
    /// CPU time of the gateway, in percent of a core.
    pub gateway_cpu: f64,
    /// Resident memory of the scheduler, in mebibytes.
    pub scheduler_mib: f64,
    /// Resident memory of the gateway, in mebibytes.
    pub gateway_mib: f64,
    /// Kilobytes per second over the loopback interface.
    pub kilobytes: f64,
    /// Reads and watches of the store per second.
    pub store_reads: f64,
    /// Writes, transactions and session calls of the store per second.
    pub store_writes: f64,
    /// Size that was reached, from the stand-ins' records.
    pub reached: f64,
}

/// Rows of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Unit of the size.
    pub unit: &'static str,
    /// One row per size.
    pub rows: Vec<Row>,
}

type Column = (&'static str, fn(&Row) -> f64);

const COLUMNS: [Column; 7] = [
    ("scheduler cpu %", |row| row.scheduler_cpu),
    ("gateway cpu %", |row| row.gateway_cpu),
    ("scheduler MiB", |row| row.scheduler_mib),
    ("gateway MiB", |row| row.gateway_mib),
    ("loopback kB/s", |row| row.kilobytes),
    ("store reads/s", |row| row.store_reads),
    ("store writes/s", |row| row.store_writes),
];

impl Report {
    /// Line fitted to each column, with the column's name.
    pub fn lines(&self) -> Vec<(&'static str, Line)> {
        let points = |value: fn(&Row) -> f64| -> Vec<(f64, f64)> {
            self.rows
                .iter()
                .map(|row| (row.reached, value(row)))
                .collect()
        };
        COLUMNS
            .iter()
            .map(|(name, value)| (*name, fit(&points(*value))))
            .collect()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "| {} | reached |", self.unit)?;
        for (name, _) in COLUMNS {
            write!(f, " {name} |")?;
        }
        writeln!(f, "\n|{}", " --- |".repeat(COLUMNS.len() + 2))?;
        for row in &self.rows {
            write!(f, "| {:.0} | {:.1} |", row.size, row.reached)?;
            for (_, value) in COLUMNS {
                write!(f, " {:.2} |", value(row))?;
            }
            writeln!(f)?;
        }
        for part in ["slope", "base"] {
            write!(f, "| {part} | |")?;
            for (_, line) in self.lines() {
                let value = if part == "slope" {
                    line.slope
                } else {
                    line.base
                };
                write!(f, " {value:.4} |")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
