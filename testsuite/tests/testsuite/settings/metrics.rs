//! The metrics page describes exactly the metrics that the code records.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const PREFIX: &str = "verbenahitch_";

#[test]
fn metrics_page_matches_the_code() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut recorded = BTreeSet::new();
    collect_recorded(&root.join("crates/verbenahitch/src"), &mut recorded);
    let page =
        std::fs::read_to_string(root.join("docs/METRICS.md")).expect("docs/METRICS.md can be read");
    let mut described = BTreeSet::new();
    collect_names(&page, '`', &mut described);
    assert!(!recorded.is_empty());
    assert_eq!(recorded, described);
}

fn collect_recorded(folder: &Path, found: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            collect_recorded(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let text = std::fs::read_to_string(&path).expect("the file can be read");
            collect_names(&text, '"', found);
        }
    }
}

/// Adds the metric names in `text` that are enclosed in `quote`: strings with the metrics' prefix.
fn collect_names(text: &str, quote: char, found: &mut BTreeSet<String>) {
    let quoted = text.split(quote).filter(|part| part.starts_with(PREFIX));
    let is_metric_name = |part: &&str| part.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    found.extend(quoted.filter(is_metric_name).map(str::to_owned));
}
