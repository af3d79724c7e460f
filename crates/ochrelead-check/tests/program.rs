//! The program reports files that a front would reject, and its exit code says whether there are any.

use std::fs;
use std::path::Path;
use std::process::Command;

use test_case::test_case;

const SETTINGS: &str = r#"name: "f" listen: "127.0.0.1:1" fronts: 1 release_wait_ms: 200
service { name: "check" dialled: "1" value: 1 post_dial_target_ms: 1500 timer_limit_ms: 9000 }
"#;

#[test_case(SETTINGS, "generation: 1 server { name: \"s0\" address: \"127.0.0.1:2\" number: 0 dialled: \"00\" } end: 1", 0, "warning"; "valid fleet with a warning")]
#[test_case(SETTINGS, "generation: 1 server { name: \"s0\" address: \"127.0.0.1:2\" number: 0", 2, "a.textproto:1:"; "truncated fleet file")]
#[test_case(SETTINGS, "", 2, "a.textproto:1:1: empty"; "empty fleet file")]
#[test_case("fronts: 0", "", 2, "front.textproto:1:1: fronts is 0"; "invalid settings")]
fn errors_and_warnings_are_printed_with_the_exit_code(
    settings: &str,
    fleet: &str,
    exit_code: i32,
    expected: &str,
) {
    let name = format!("{:08x}", settings.len() * 10_000 + fleet.len());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(folder.join("fleet")).unwrap();
    fs::write(folder.join("front.textproto"), settings).unwrap();
    fs::write(folder.join("fleet/a.textproto"), fleet).unwrap();
    let run = Command::new(env!("CARGO_BIN_EXE_ochrelead-check"))
        .args(["--settings", "front.textproto", "--fleet", "fleet"])
        .current_dir(&folder)
        .output()
        .unwrap();
    let output = String::from_utf8([run.stdout, run.stderr].concat()).unwrap();
    assert!(run.status.code() == Some(exit_code) && output.contains(expected), "{output}");
}
