//! Tests of commands and replies, also byte for byte.

use super::*;

#[test]
fn a_command_is_parsed_or_rejected_with_a_reason() {
    assert_eq!(parse_command(b"readyz"), Ok(Command::Readiness));
    assert_eq!(parse_command(b" telemetry "), Ok(Command::Metrics));
    assert_eq!(parse_command(b"exclude s-5be2a07c"), Ok(Command::Disable("s-5be2a07c".into())));
    assert_eq!(parse_command(b"include s-1"), Ok(Command::Enable("s-1".into())));
    let longest = [b"exclude ".as_slice(), &[b'x'; MAX_COMMAND_BYTES]].concat();
    for (line, reason) in [
        (&b""[..], "no call"),
        (b"READYZ", "'READYZ' is no call"),
        (b"readyz now", "readyz takes nothing behind it"),
        (b"exclude", "exclude needs the id of a server"),
        (b"include ", "include needs the id of a server"),
        (b"exclude s-1 s-2", "exclude takes one server at a time"),
        (b"exclude \xff", "the call is no text"),
        (b"exclude s\x001", "the call is no text"),
        (&longest, "the call is longer than 4096 bytes"),
    ] {
        let reply = CommandReply::Rejected(parse_command(line).expect_err("an invalid command")).text("\r\n");
        assert!(reply.starts_with(&format!("NO {reason}")) && reply.ends_with("\r\n"), "{reply}");
    }
}

#[test]
fn each_metric_has_a_line_and_the_last_line_is_end() {
    let replies = vec![("chat".to_owned(), ReplyCounts { success: 812, overload: 3, error: 1 })];
    let metrics = Metrics { replies, dispatches: 900, concurrent: 14, targets: 12, targets_disabled: 1 };
    let text = CommandReply::Metrics(metrics.lines()).text("\n");
    let lines: Vec<&str> = text.lines().collect();
    let expected = [
        "svc.replies.chat.success:812|c",
        "svc.replies.chat.overload:3|c",
        "svc.replies.chat.error:1|c",
        "svc.dispatches:900|c",
        "svc.concurrent:14|g",
        "svc.targets:12|g",
        "svc.targets_disabled:1|g",
        "END",
    ];
    assert_eq!(lines, expected);
    assert_eq!(metric_name_part("a b:c|d.e"), "a_b_c_d_e");
}

/// Every command as operators send it, one per line.
const COMMANDS: &str = include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/calls.txt"));
/// Every reply, in the order of `replies_are_written_byte_for_byte`.
const REPLIES: &str = include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/answers.txt"));

#[test]
fn commands_are_parsed_from_exact_bytes() {
    let parsed: Vec<Command> =
        COMMANDS.lines().map(|line| parse_command(line.as_bytes()).expect("a valid command")).collect();
    let server = "s-5be2a07c".to_owned();
    assert_eq!(
        parsed,
        [Command::Readiness, Command::Metrics, Command::Disable(server.clone()), Command::Enable(server)]
    );
}

#[test]
fn replies_are_written_byte_for_byte() {
    let replies = vec![
        ("chat".to_owned(), ReplyCounts { success: 812, overload: 3, error: 1 }),
        ("bulk.eu 1".to_owned(), ReplyCounts { success: 4, overload: 5, error: 6 }),
    ];
    let metrics = Metrics { replies, dispatches: 900, concurrent: 14, targets: 12, targets_disabled: 1 };
    let errors = [
        CommandError::Empty,
        CommandError::UnknownCommand("stats".into()),
        CommandError::MissingServer("exclude"),
        CommandError::UnexpectedArgument("readyz", "nothing behind it"),
        CommandError::NotText,
        CommandError::TooLong,
        CommandError::UnknownServer("s-1".into()),
        CommandError::NotReady("this process is about to end and takes no clients"),
    ];
    let mut command_replies = vec![CommandReply::Done, CommandReply::Metrics(metrics.lines())];
    command_replies.extend(errors.map(CommandReply::Rejected));
    let text: String = command_replies.iter().map(|reply| reply.text("\n")).collect();
    assert_eq!(text, REPLIES);
    let text: String = command_replies.iter().map(|reply| reply.text("\r\n")).collect();
    assert_eq!(text, REPLIES.replace('\n', "\r\n"));
}
