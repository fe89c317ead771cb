//! Lines and levels of the log.

use super::*;
use std::sync::{Arc, Mutex};
use tracing::{debug, info, warn};

/// What is written of a few events in this format and from this level on.
fn written(log_format: Format, levels: &str) -> String {
    #[derive(Clone, Default)]
    struct Out(Arc<Mutex<Vec<u8>>>);
    impl io::Write for Out {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0.lock().expect("whole").write(bytes)
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let out = Out::default();
    let args = LogArgs { log_format, log_level: levels.parse().expect("levels") };
    let to = out.clone();
    tracing::subscriber::with_default(args.subscriber(move || to.clone()), || {
        info!(event = "serving", name = "n1", servers = 3, "left-out" = Some(2), none = None::<u64>);
        warn!(event = "malformed", why = "a \"=\"\nlevel=error event=forged");
        debug!(event = "answered");
    });
    let bytes = out.0.lock().expect("whole").clone();
    String::from_utf8(bytes).expect("text")
}

#[test]
fn a_line_is_an_event_with_its_keys_that_no_value_can_forge() {
    let text = written(Format::Logfmt, "info");
    let lines: Vec<_> = text.lines().map(|l| l.split_once(' ').expect("a time first")).collect();
    assert!(lines.len() == 2 && lines.iter().all(|(ts, _)| ts.starts_with("ts=")), "{text}");
    assert_eq!(lines[0].1, "level=info event=serving name=n1 servers=3 left-out=2");
    assert_eq!(lines[1].1, r#"level=warn event=malformed why="a \"=\"\nlevel=error event=forged""#);
    let text = written(Format::Json, "info");
    let lines: Vec<_> = text.lines().map(|l| l.split_once(',').expect("a time first")).collect();
    assert_eq!(lines[0].1, r#""level":"INFO","event":"serving","name":"n1","servers":3,"left-out":2}"#);
    assert_eq!(lines.len(), 2, "{text}");
}

#[test]
fn levels_are_parsed_strictly_and_filter_events() {
    assert_eq!(written(Format::Logfmt, "debug").lines().count(), 3);
    assert_eq!(written(Format::Logfmt, "off, shorewharf_logging=warn").lines().count(), 1);
    for bad in ["loud", "", "info,", "shorewharf=", "a=b"] {
        assert!(bad.parse::<LevelFilters>().expect_err(bad).to_string().contains("is none of off"), "{bad}");
    }
}
