//! Owns colours: on a terminal, or as `--color` says, and never where `NO_COLOR` is set.

use std::io::{IsTerminal, Write};

use crate::cli::ColorMode;

/// Whether to use colours on standard output.
#[derive(Clone, Copy, Debug)]
pub struct Style {
    /// Colours are used.
    pub colours: bool,
    /// Standard output is redrawn in place.
    pub redraw: bool,
}

impl Style {
    /// Looks at standard output, once.
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

    /// What went well.
    pub fn good(&self, text: &str) -> String {
        self.paint("32", text)
    }

    /// What is odd.
    pub fn warn(&self, text: &str) -> String {
        self.paint("33", text)
    }

    /// What is wrong.
    pub fn bad(&self, text: &str) -> String {
        self.paint("31;1", text)
    }

    /// What matters most.
    pub fn bold(&self, text: &str) -> String {
        self.paint("1", text)
    }

    /// What matters little.
    pub fn dim(&self, text: &str) -> String {
        self.paint("2", text)
    }
}

/// Writes to standard output. Whoever reads it may have read enough (`| head`): that ends the program quietly.
pub fn say(text: &str) {
    let mut out = std::io::stdout().lock();
    if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
        std::process::exit(0);
    }
}
