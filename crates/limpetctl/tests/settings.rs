//! Invalid settings, the help and the environment.

mod common;

use std::fmt::Write;

use common::{limpetctl, refusing_address};
use insta::assert_snapshot;

const INVALID_COMMANDS: &[&str] = &[
    "status",
    "--control localhost status",
    "--control 192.0.2.1:0 status",
    "--control 192.0.2.1:7100 --output xml status",
    "--control 192.0.2.1:7100 --deadline 1ms status",
    "--control 192.0.2.1:7100 --deadline soon status",
    "--control 192.0.2.1:7100 service create vouchers --address 198.51.100.1:443",
    "--control 192.0.2.1:7100 --operator a/b status",
    "--control 192.0.2.1:7100 --operator alice service create vouchers --address 198.51.100.1",
    "--control 192.0.2.1:7100 --operator alice target set vouchers default --carry 0",
    "--control 192.0.2.1:7100 --operator alice target set vouchers default --carry 1 \
     --leave-within 2h",
    "--control 192.0.2.1:7100 --operator alice target set vouchers default --carry 1 \
     --path-prefix redeem",
    "--control 192.0.2.1:7100 --operator alice upstream drain h1 --base minus",
    "--control 192.0.2.1:7100 --operator alice upstream drain h1 --base 1 \
     --change-id 01890a5d-ac96-474b-bcce-b302099a8057",
    "--control 192.0.2.1:7100 control remove voter",
    "--control 192.0.2.1:7100 audit --limit 0",
    "call https://vouchers.example/",
    "call http://vouchers.example/ --insecure",
    "call https://vouchers.example/ --insecure --ca roots.pem",
    "call https://vouchers.example/ --ca /nonexistent/roots.pem",
    "call https://vouchers.example/ --ca Cargo.toml",
    "call https://vouchers.example/ --insecure --body @/nonexistent/body",
    "call https://vouchers.example/ --insecure --header accept",
    "completions basic",
    "--control 192.0.2.1:7100 routes set 7 --rule 198.18.0.1:443=vouchers",
    "--control 192.0.2.1:7100 --operator alice routes set seven",
    "--control 192.0.2.1:7100 --operator alice routes set 7 --rule 198.18.0.1=vouchers",
    "--control 192.0.2.1:7100 --operator alice routes set 7 --rule 198.18.0.1:443",
    "--control 192.0.2.1:7100 --operator alice routes set 7 --rule 198.18.0.1:443=vouchers:x",
    "explain 100.64.0.7:40001-198.18.0.1:443",
    "explain 100.64.0.7:40001-198.18.0.1:443 Cargo.toml --around 2h",
    "--control 192.0.2.1:7100 --tls-ca Cargo.toml status",
    "--control 192.0.2.1:7100 --tls-key Cargo.toml status --tls-ca Cargo.toml",
    "--control 192.0.2.1:7100 --tls-ca /nonexistent/ca --tls-certificate a --tls-key b status",
    "--control 192.0.2.1:7100 --tls-ca Cargo.toml --tls-certificate a --tls-key b status",
];

/// Guards against an invalid setting that is found only after a socket was
/// opened, or whose message lacks the flag, the value or the accepted range.
#[test]
fn wrong_settings() {
    let mut text = String::new();
    for line in INVALID_COMMANDS {
        let args: Vec<_> = line.split_whitespace().collect();
        let output = limpetctl(&args);
        let stderr = String::from_utf8(output.stderr).unwrap();
        let message = stderr.split("\n\nUsage").next().unwrap();
        let message = message.split("\n\nFor more").next().unwrap();
        writeln!(text, "$ limpetctl {line}\n{message}\n").unwrap();
        assert_eq!(output.status.code(), Some(2), "{line}");
        assert!(output.stdout.is_empty(), "{line}");
    }
    assert_snapshot!(text);
}

/// Guards against flags without an environment variable or an example, and
/// against exit codes that the help does not list.
#[test]
fn help() {
    let mut text = String::new();
    for command in [
        "",
        "service create",
        "target set",
        "key rotate",
        "control replace",
        "call",
    ] {
        let mut args: Vec<_> = command.split_whitespace().collect();
        args.push("--help");
        let output = limpetctl(&args);
        assert_eq!(output.status.code(), Some(0));
        let help = String::from_utf8(output.stdout).unwrap();
        let lines: Vec<_> = help.lines().map(str::trim_end).collect();
        writeln!(text, "$ limpetctl {command} --help\n{}\n", lines.join("\n")).unwrap();
    }
    assert_snapshot!(text);
}

/// Guards against ignoring a setting from the environment.
#[test]
fn environment() {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_limpetctl"));
    let output = command
        .env("LIMPET_CONTROL", refusing_address().to_string())
        .env("LIMPET_OPERATOR", "alice")
        .env("LIMPET_DEADLINE", "200ms")
        .env("LIMPET_CARRY", "7")
        .env("LIMPET_BASE", "4")
        .env("LIMPET_CHANGE_ID", types::ChangeId::generate().to_string())
        .args(["target", "set", "vouchers", "default"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(5), "{output:?}");
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(stderr.contains("--carry 7"), "{stderr}");
    assert!(stderr.contains("--base 4"), "{stderr}");
}

/// Guards against completions that a shell cannot load.
#[test]
fn completions() {
    for shell in ["bash", "elvish", "fish", "powershell", "zsh"] {
        let output = limpetctl(&["completions", shell]);
        assert_eq!(output.status.code(), Some(0));
        let text = String::from_utf8(output.stdout).unwrap();
        assert!(text.contains("rotate"), "{shell}");
    }
}
