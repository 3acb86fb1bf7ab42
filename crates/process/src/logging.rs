//! Log lines as JSON: time, level, host, log target, message and typed fields.

use std::{
    io::Write,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use env_logger::{Builder, Env, Target};
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};

use crate::output::{self, Output};

/// Sets up the process's logger, which writes to standard output and never blocks. `RUST_LOG` sets
/// the filter; the default is level `info`, and `warn` for tarpc. `host` is written in each line.
pub fn init(host: Arc<str>) {
    let mut builder = Builder::from_env(Env::default().default_filter_or("info,tarpc=warn"));
    match Output::start() {
        Ok(output) => {
            builder.target(Target::Pipe(Box::new(output)));
        }
        Err(err) => eprintln!("cannot start the log writer: {err}; logs go to standard error"),
    }
    builder
        .format(move |out, record| {
            let mut fields = Fields(Map::new());
            if record.key_values().visit(&mut fields).is_err() {
                fields.0.insert("fields_error".to_owned(), json!(true));
            }
            let time = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let line = json!({
                "time_ms": u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
                "level": record.level().as_str(),
                "host": &*host,
                "target": record.target(),
                "message": record.args().to_string(),
                "fields": fields.0,
            });
            writeln!(out, "{line}")
        })
        .init();
}

/// Waits until the lines logged so far are written, for at most 200 ms.
pub fn flush() {
    output::flush();
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = if let Some(it) = value.to_u64() {
            json!(it)
        } else if let Some(it) = value.to_i64() {
            json!(it)
        } else if let Some(it) = value.to_f64() {
            json!(it)
        } else if let Some(it) = value.to_bool() {
            json!(it)
        } else {
            json!(value.to_string())
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
