//! Golden files: what the product stored, sent or printed when they were written, which tests
//! compare with what it does now.
//!
//! They lie below `tests/golden/` of the package whose test compares them. A test that is run with
//! `COBALTFALL_WRITE_GOLDEN=1` in its environment writes them anew instead of comparing; do this only when a change
//! of the format is meant, and say so in the commit.
#![allow(dead_code, reason = "no test uses all of it")]

use std::fs;
use std::path::{Path, PathBuf};

/// Whether golden files are to be written anew.
pub(crate) fn is_writing() -> bool {
    std::env::var_os("COBALTFALL_WRITE_GOLDEN").is_some_and(|value| value == "1")
}

/// The folder of this package's golden files.
pub(crate) fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden")
}

/// The bytes of a golden file.
pub(crate) fn read(name: &str) -> Vec<u8> {
    let path = folder().join(name);
    fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Compares a text with a golden file, line by line for the message and then as a whole.
pub(crate) fn compare_text(name: &str, text: &str) {
    if is_writing() {
        write(name, text.as_bytes());
    }
    let golden = String::from_utf8(read(name)).expect("golden text is UTF-8");
    for (place, (now, before)) in text.lines().zip(golden.lines()).enumerate() {
        assert_eq!(now, before, "{name}, line {}", place + 1);
    }
    assert_eq!(text, golden, "{name} is longer or shorter than it was");
}

/// Compares named bytes with a golden file that has a line for each: its name, and its bytes in hexadecimal digits.
pub(crate) fn compare_entries(name: &str, entries: &[(&str, Vec<u8>)]) {
    let line = |(key, bytes): &(&str, Vec<u8>)| format!("{key} {}\n", to_hex(bytes));
    compare_text(name, &entries.iter().map(line).collect::<String>());
}

/// The entries of such a file.
pub(crate) fn read_entries(name: &str) -> Vec<(String, Vec<u8>)> {
    let text = String::from_utf8(read(name)).expect("golden text is UTF-8");
    let entry = |line: &str| {
        let (key, digits) = line.split_once(' ').expect("a name and digits");
        (key.to_owned(), from_hex(digits))
    };
    text.lines().map(entry).collect()
}

/// Each variant of an enum must have an example: the names of all variants against those of the examples.
pub(crate) fn check_all_named<'a>(all: &[&str], examples: impl Iterator<Item = &'a str>) {
    let found: std::collections::BTreeSet<&str> = examples.collect();
    let wanted: std::collections::BTreeSet<&str> = all.iter().copied().collect();
    assert_eq!(found, wanted, "each variant needs a golden example");
}

fn write(name: &str, bytes: &[u8]) {
    let path = folder().join(name);
    fs::create_dir_all(path.parent().expect("it has a folder")).expect("the folder can be made");
    fs::write(path, bytes).expect("golden files can be written");
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(digits: &str) -> Vec<u8> {
    let byte = |start: usize| {
        u8::from_str_radix(&digits[start..start + 2], 16).expect("hexadecimal digits")
    };
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// Declares the names of all variants of an enum, and a function from a value to its variant's name. Its match is
/// exhaustive: a new variant doesn't compile until it is named, and then needs an example.
#[macro_export]
macro_rules! variant_names {
    ($all:ident, $name:ident($kind:ty) { $($pattern:pat => $variant:literal,)* }) => {
        const $all: &[&str] = &[$($variant),*];
        fn $name(value: &$kind) -> &'static str {
            match value {
                $($pattern => $variant,)*
            }
        }
    };
}

/// Compares values as JSON, a line each, with a golden file, and gives that file's lines to be read back.
pub(crate) fn compare_json_lines(name: &str, lines: &[String]) -> Vec<String> {
    let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
    compare_text(name, &text);
    let golden = String::from_utf8(read(name)).expect("golden text is UTF-8");
    golden.lines().map(str::to_owned).collect()
}

/// What a program's help says of its command line: subcommands, options with their defaults and values, and how many
/// positional arguments there are. Names of values and descriptions aren't part of the interface and left out.
pub(crate) fn command_line(binary: &str, path: &[&str]) -> String {
    let help = std::process::Command::new(binary)
        .args(path)
        .arg("-h")
        .output()
        .expect("the program starts");
    assert!(help.status.success(), "{path:?} has no help");
    let help = String::from_utf8(help.stdout).expect("help is UTF-8");
    let mut text = format!(
        "{}\n",
        ["PROGRAM"]
            .iter()
            .chain(path)
            .copied()
            .collect::<Vec<_>>()
            .join(" ")
    );
    let (mut section, mut subcommands) = ("", vec![]);
    for line in help.lines() {
        let entry = line.trim_start();
        let is_heading = !line.starts_with(' ') && line.ends_with(':');
        if is_heading {
            section = line.trim_end_matches(':');
        } else if section == "Commands" && line.starts_with("  ") && !line.starts_with("   ") {
            subcommands.extend(entry.split(' ').next().filter(|name| *name != "help"));
        } else if section == "Arguments" && (entry.starts_with('<') || entry.starts_with('[')) {
            let is_list = entry
                .split(' ')
                .next()
                .is_some_and(|word| word.ends_with("..."));
            let count = if is_list { "several" } else { "one" };
            text.push_str(&format!("  argument, {count}\n"));
        } else if section == "Options" && entry.starts_with('-') {
            let names = entry.split("  ").next().unwrap_or_default();
            let plain = names
                .split_once(" <")
                .map_or(names.to_owned(), |(name, _)| format!("{name} VALUE"));
            let several = if names.ends_with("...") { "..." } else { "" };
            text.push_str(&format!("  {plain}{several}\n"));
        }
        if section == "Options" || section == "Arguments" {
            text.push_str(&bracketed(line));
        }
    }
    for subcommand in subcommands {
        let path: Vec<&str> = path.iter().copied().chain([subcommand]).collect();
        text.push_str(&command_line(binary, &path));
    }
    text
}

/// Defaults and possible values that a line of help names, a line each.
fn bracketed(line: &str) -> String {
    ["[default: ", "[possible values: "]
        .iter()
        .filter_map(|start| {
            let rest = &line[line.find(start)?..];
            Some(format!("    {}\n", &rest[..=rest.find(']')?]))
        })
        .collect()
}

/// The exit code of a program that is called so, with nothing on its standard input.
pub(crate) fn exit_code(binary: &str, arguments: &[&str]) -> Option<i32> {
    let output = std::process::Command::new(binary)
        .args(arguments)
        .env_remove("COBALTFALL_BOOT")
        .stdin(std::process::Stdio::null())
        .output()
        .expect("the program starts");
    output.status.code()
}

/// The values of a structure in the order of its fields, without the names of fields and structures.
pub(crate) fn values_of(value: &impl std::fmt::Debug) -> String {
    let without_names = |line: &str| {
        let indent = line.len() - line.trim_start().len();
        let entry = line.trim_start();
        let rest = match entry.split_once(": ") {
            Some((name, rest)) if is_name(name) => rest,
            _ => entry,
        };
        let (key, opened) = match rest.rsplit_once(": ") {
            Some((key, opened)) => (format!("{key}: "), opened),
            None => (String::new(), rest),
        };
        let opened = match opened.split_at(opened.len().saturating_sub(1)) {
            (name, "{") if is_name(name.trim_end()) => "{",
            (name, "(") if is_name(name) && name != "Some" => "(",
            _ => opened,
        };
        format!("{}{key}{opened}\n", &line[..indent])
    };
    format!("{value:#?}").lines().map(without_names).collect()
}

fn is_name(text: &str) -> bool {
    text.bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || byte == b'_')
}
