//! The command line of the load generator against a golden file. `COBALTFALL_WRITE_GOLDEN=1` in the environment
//! writes it anew.

#[path = "../../types/tests/golden_file/mod.rs"]
mod golden_file;

const PROGRAM: &str = env!("CARGO_BIN_EXE_loadgen");

#[test]
fn the_command_line_is_as_ever() {
    golden_file::compare_text("command-line.txt", &golden_file::command_line(PROGRAM, &[]));
}

#[test]
fn exit_codes_are_as_ever() {
    let code = |arguments: &[&str]| golden_file::exit_code(PROGRAM, arguments);
    assert_eq!(code(&[]), Some(2));
    assert_eq!(code(&["--at", "127.0.0.1:1", "--scale", "99"]), Some(2));
    assert_eq!(code(&["--version"]), Some(0));
}
