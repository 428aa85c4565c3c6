//! One module for each subcommand, with their common error type and argument parsing.

pub mod apply;
pub mod check;
pub mod demo;
pub mod dump;
pub mod experiment;
pub mod explain;
pub mod load;
pub mod model;
pub mod schedules;
pub mod serve;
pub mod show;
pub mod slopes;
pub mod soak;

/// Why a command ends before it has succeeded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is wrong; exit code 2.
    #[error("{0}")]
    Usage(Box<str>),
    /// The command was understood and failed; exit code 1.
    #[error("{0}")]
    Failed(Box<str>),
    /// The usage text was asked for; exit code 0.
    #[error("{0}")]
    Help(&'static str),
}

impl Error {
    /// A failure with the text of `error`.
    pub fn failed(error: impl std::fmt::Display) -> Self {
        Self::Failed(error.to_string().into())
    }

    /// A usage error with the text of `error`.
    pub fn usage(error: impl std::fmt::Display) -> Self {
        Self::Usage(error.to_string().into())
    }

    /// The process's exit code.
    pub fn code(&self) -> u8 {
        match self {
            Self::Help(_) => 0,
            Self::Failed(_) => 1,
            Self::Usage(_) => 2,
        }
    }
}

/// Parses `arguments` according to `options`, to which it adds `--help`.
pub fn parse(
    options: &mut getopts::Options,
    usage: &'static str,
    arguments: &[String],
) -> Result<getopts::Matches, Error> {
    options.optflag("h", "help", "");
    let matches = options.parse(arguments).map_err(Error::usage)?;
    if matches.opt_present("help") {
        return Err(Error::Help(usage));
    }
    Ok(matches)
}

/// The only positional argument of `matches`, which the usage calls `name`.
pub fn single(matches: &getopts::Matches, name: &str) -> Result<Box<str>, Error> {
    match matches.free.as_slice() {
        [word] => Ok(word.as_str().into()),
        [] => Err(Error::Usage(format!("{name} is missing").into())),
        [_, extra, ..] => Err(Error::Usage(
            format!("`{extra}` is one word too many").into(),
        )),
    }
}

/// The value of option `name`, parsed as `T`, if it is given.
pub fn value<T>(matches: &getopts::Matches, name: &str) -> Result<Option<T>, Error>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    let parsed = text
        .parse()
        .map_err(|error| Error::usage(format!("--{name} {text}: {error}")));
    parsed.map(Some)
}
