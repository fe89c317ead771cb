//! Tests of the format of log lines and of the filter by level.

use super::*;
use std::sync::{Arc, Mutex};
use tracing::{debug, info, warn};

/// Logs three events, at the levels info, warn and debug, and returns the lines that are written.
fn logged(log_format: Format, levels: &str) -> String {
    #[derive(Clone, Default)]
    struct Output(Arc<Mutex<Vec<u8>>>);
    impl io::Write for Output {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0.lock().expect("a lock that is not poisoned").write(bytes)
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let output = Output::default();
    let args = LogArgs { log_format, log_level: levels.parse().expect("valid levels") };
    let writer = output.clone();
    tracing::subscriber::with_default(args.subscriber(move || writer.clone()), || {
        info!(event = "serving", name = "n1", servers = 3, "left-out" = Some(2), none = None::<u64>);
        warn!(event = "malformed", why = "a \"=\"\nlevel=error event=forged");
        debug!(event = "answered");
    });
    let bytes = output.0.lock().expect("a lock that is not poisoned").clone();
    String::from_utf8(bytes).expect("UTF-8 text")
}

#[test]
fn an_event_is_one_line_with_its_keys_and_values_cannot_forge_another() {
    let text = logged(Format::Logfmt, "info");
    let lines: Vec<_> =
        text.lines().map(|line| line.split_once(' ').expect("the line starts with a timestamp")).collect();
    assert!(lines.len() == 2 && lines.iter().all(|(timestamp, _)| timestamp.starts_with("ts=")), "{text}");
    assert_eq!(lines[0].1, "level=info event=serving name=n1 servers=3 left-out=2");
    assert_eq!(lines[1].1, r#"level=warn event=malformed why="a \"=\"\nlevel=error event=forged""#);
    let text = logged(Format::Json, "info");
    let lines: Vec<_> =
        text.lines().map(|line| line.split_once(',').expect("the line starts with a timestamp")).collect();
    assert_eq!(lines[0].1, r#""level":"INFO","event":"serving","name":"n1","servers":3,"left-out":2}"#);
    assert_eq!(lines.len(), 2, "{text}");
}

#[test]
fn levels_are_parsed_strictly_and_filter_events() {
    assert_eq!(logged(Format::Logfmt, "debug").lines().count(), 3);
    assert_eq!(logged(Format::Logfmt, "off, shorewharf_logging=warn").lines().count(), 1);
    for levels in ["loud", "", "info,", "shorewharf=", "a=b"] {
        let error = levels.parse::<LevelFilters>().expect_err(levels).to_string();
        assert!(error.contains("is not a log level; expected off"), "{levels}: {error}");
    }
}
