//! Colours of standard output. With `--color auto` they are used on a terminal unless `NO_COLOR` is set.

use std::io::{IsTerminal, Write};

use crate::cli::ColorMode;

/// How text is shown on standard output.
#[derive(Clone, Copy, Debug)]
pub struct Style {
    /// Whether text is coloured.
    pub colours: bool,
    /// Whether tables are redrawn in place.
    pub redraw: bool,
}

impl Style {
    /// Chooses the style from the option and from whether standard output is a terminal.
    pub fn of(when: ColorMode) -> Self {
        let terminal = std::io::stdout().is_terminal();
        let plain = std::env::var_os("NO_COLOR").is_some_and(|v| !v.is_empty());
        Self {
            colours: match when {
                ColorMode::Auto => terminal && !plain,
                ColorMode::Always => true,
                ColorMode::Never => false,
            },
            redraw: terminal && when != ColorMode::Never,
        }
    }

    fn paint(&self, code: &str, text: &str) -> String {
        if self.colours && !text.is_empty() { format!("\x1b[{code}m{text}\x1b[0m") } else { text.to_owned() }
    }

    /// Text in the colour of success (green).
    pub fn good(&self, text: &str) -> String {
        self.paint("32", text)
    }

    /// Text in the colour of warnings (yellow).
    pub fn warn(&self, text: &str) -> String {
        self.paint("33", text)
    }

    /// Text in the colour of errors (red).
    pub fn bad(&self, text: &str) -> String {
        self.paint("31;1", text)
    }

    /// Emphasized text.
    pub fn bold(&self, text: &str) -> String {
        self.paint("1", text)
    }

    /// Secondary text.
    pub fn dim(&self, text: &str) -> String {
        self.paint("2", text)
    }
}

/// Writes to standard output. If the reader has closed it (`| head`), the process ends with exit code 0.
pub fn say(text: &str) {
    let mut out = std::io::stdout().lock();
    if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
        std::process::exit(0);
    }
}
