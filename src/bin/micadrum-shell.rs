//! What a person can ask of the sender. `micadrum` becomes this program where it is given any word, and this one
//! becomes `micadrum` to run.
use clap::{Parser, Subcommand};
use micadrum::config::{self, Checked, ConfigError};
use std::io::Write;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::ExitCode;

/// Takes messages on from clients and delivers each to its partner's endpoints.
///
/// Without a command it runs, as $PROXY_CONFIG and $PROXY_STATE say.
#[derive(Parser)]
#[command(name = "micadrum", version)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs until SIGTERM; SIGHUP has the configuration read again.
    Run {
        /// The configuration, in JSON or (by its ending) TOML; without it $PROXY_CONFIG.
        #[arg(long)]
        config: Option<PathBuf>,
        /// The folder that outlasts the process; without it $PROXY_STATE.
        #[arg(long)]
        state: Option<PathBuf>,
    },
    /// Looks a configuration over: all that is wrong, with its place. Exit code 2 if it cannot be used.
    Check {
        /// The file; without it $PROXY_CONFIG.
        file: Option<PathBuf>,
    },
    /// Shows configurations.
    Config {
        #[command(subcommand)]
        what: Configs,
    },
}

#[derive(Subcommand)]
enum Configs {
    /// Every value that holds, and where it is from.
    Show {
        /// The file; without it $PROXY_CONFIG.
        file: Option<PathBuf>,
    },
    /// The schema, as JSON Schema.
    Schema,
    /// A whole configuration in TOML with comments, to begin with.
    Example,
}

/// The configuration cannot be used, or not be read.
const UNUSABLE: u8 = 2;

#[derive(Debug, thiserror::Error)]
enum ShellError {
    #[error("no file is given, and $PROXY_CONFIG is not set")]
    NoFile,
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("starting the sender, which is to lie beside this program: {0}")]
    Sender(std::io::Error),
    #[error("the answer: {0}")]
    Out(#[from] std::io::Error),
    #[error("the schema: {0}")]
    Schema(#[from] serde_json::Error),
}

fn main() -> ExitCode {
    let answered = match Cli::parse().command {
        None => run(None, None),
        Some(Command::Run { config, state }) => run(config, state),
        Some(Command::Check { file }) => check(file),
        Some(Command::Config { what }) => show(what).map(|()| ExitCode::SUCCESS),
    };
    answered.unwrap_or_else(|e| {
        eprintln!("micadrum: {e}");
        ExitCode::from(UNUSABLE)
    })
}

/// Becomes the sender. A file that a person names is checked first, whole.
fn run(config: Option<PathBuf>, state: Option<PathBuf>) -> Result<ExitCode, ShellError> {
    let own = std::env::current_exe().map_err(ShellError::Sender)?;
    let mut sender = std::process::Command::new(own.with_file_name("micadrum"));
    if let Some(config) = config {
        let checked = config::check(&config)?;
        if !checked.errors.is_empty() {
            tell(&mut std::io::stderr().lock(), &checked)?;
            return Ok(ExitCode::from(UNUSABLE));
        }
        sender.env("PROXY_CONFIG", config);
    }
    if let Some(state) = state {
        sender.env("PROXY_STATE", state);
    }
    Err(ShellError::Sender(sender.exec()))
}

fn tell(out: &mut impl Write, checked: &Checked) -> std::io::Result<()> {
    for problem in &checked.unknown {
        writeln!(out, "warning: {problem}")?;
    }
    for problem in &checked.errors {
        writeln!(out, "error: {problem}")?;
    }
    Ok(())
}

fn named(file: Option<PathBuf>) -> Result<PathBuf, ShellError> {
    file.or_else(|| std::env::var_os("PROXY_CONFIG").map(PathBuf::from)).ok_or(ShellError::NoFile)
}

fn check(file: Option<PathBuf>) -> Result<ExitCode, ShellError> {
    let file = named(file)?;
    let checked = config::check(&file)?;
    let mut out = std::io::stdout().lock();
    tell(&mut out, &checked)?;
    let usable = checked.errors.is_empty();
    let word = if usable { "can be used" } else { "cannot be used" };
    writeln!(out, "{} {word}", file.display())?;
    Ok(if usable { ExitCode::SUCCESS } else { ExitCode::from(UNUSABLE) })
}

fn show(what: Configs) -> Result<(), ShellError> {
    let mut out = std::io::stdout().lock();
    match what {
        Configs::Show { file } => {
            for value in config::effective(&named(file)?)? {
                writeln!(out, "{} = {}  # {}", value.key, value.value, value.origin)?;
            }
        }
        Configs::Schema => writeln!(out, "{}", serde_json::to_string_pretty(&config::schema())?)?,
        Configs::Example => write!(out, "{}", config::EXAMPLE)?,
    }
    Ok(())
}
