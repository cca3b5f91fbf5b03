//! The tables in the manual match the tables in the code.
//!
//! Set `VERBENAHITCH_WRITE_MANUAL=1` to regenerate the pages.

use std::fmt::Write as _;
use std::path::PathBuf;

use verbenahitch::event::Kind;
use verbenahitch::settings::{DECLARATIONS, Fallback, SETTINGS, Shape};

const SETTINGS_HEAD: &str = "# Settings

One file in JSON with comments serves both daemons of an entry host. Times end
in `-ms` and are in milliseconds. `verbenahitch check FILE` reports every fault
with its place.

| key | allowed | default | meaning |
| --- | --- | --- | --- |
";

const DECLARATIONS_HEAD: &str = "# Declarations

Operators keep this document in version control and apply it; `verbenahitch
check --declarations FILE` reports every fault with its place. `<name>` stands
for a name of the operator's choice.

| key | allowed | default | meaning |
| --- | --- | --- | --- |
";

const EVENTS_HEAD: &str = "# Events

Every line of the log is one JSON object; a numbered event stands in its `entry`
with `event` (its number), `name` and its fields. Numbers keep their meaning.

| number | name | level | meaning |
| --- | --- | --- | --- |
";

#[test]
fn settings_page_matches_the_table() {
    let mut page = SETTINGS_HEAD.to_owned();
    write_rows("", &SETTINGS, &mut page);
    assert_page("SETTINGS.md", &page);
}

#[test]
fn declarations_page_matches_the_table() {
    let mut page = DECLARATIONS_HEAD.to_owned();
    write_rows("", &DECLARATIONS, &mut page);
    assert_page("DECLARATIONS.md", &page);
}

#[test]
fn events_page_matches_the_catalogue() {
    let mut page = EVENTS_HEAD.to_owned();
    for kind in Kind::ALL {
        let (number, name, level) = (kind.number(), kind.name(), kind.level());
        writeln!(
            page,
            "| {number} | `{name}` | {level} | {} |",
            kind.summary()
        )
        .unwrap();
    }
    assert_page("EVENTS.md", &page);
}

#[test]
fn event_numbers_and_names_are_unique() {
    let mut numbers: Vec<u16> = Kind::ALL.iter().map(|kind| kind.number()).collect();
    let mut names: Vec<&str> = Kind::ALL.iter().map(|kind| kind.name()).collect();
    numbers.sort_unstable();
    numbers.dedup();
    names.sort_unstable();
    names.dedup();
    assert_eq!(numbers.len(), Kind::ALL.len());
    assert_eq!(names.len(), Kind::ALL.len());
}

fn write_rows(path: &str, shape: &Shape, page: &mut String) {
    match shape {
        Shape::Object(fields) => {
            for field in *fields {
                let key = if path.is_empty() {
                    field.key.to_owned()
                } else {
                    format!("{path}.{}", field.key)
                };
                let fallback = match field.fallback {
                    Fallback::Required => "required".to_owned(),
                    Fallback::Unset => "unset".to_owned(),
                    Fallback::Value(json) => format!("`{json}`"),
                };
                let allowed = field.shape.allowed();
                writeln!(
                    page,
                    "| `{key}` | {allowed} | {fallback} | {} |",
                    field.meaning
                )
                .unwrap();
                write_rows(&key, &field.shape, page);
            }
        }
        Shape::Map(inner) => write_rows(&format!("{path}.<name>"), inner, page),
        Shape::List(inner) => write_rows(&format!("{path}[]"), inner, page),
        _ => {}
    }
}

fn assert_page(name: &str, expected: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../docs")
        .join(name);
    if std::env::var_os("VERBENAHITCH_WRITE_MANUAL").is_some() {
        std::fs::write(&path, expected).unwrap();
    }
    let found = std::fs::read_to_string(&path).unwrap_or_default();
    assert_eq!(
        found, expected,
        "docs/{name} is out of date, regenerate it with VERBENAHITCH_WRITE_MANUAL=1"
    );
}
