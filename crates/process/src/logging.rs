//! Log lines as JSON: time, level, target, message and typed fields.

use std::{
    io::Write,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use env_logger::{Builder, Env};
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};

/// Sets up the process's logger. `RUST_LOG` filters; the default level is `info`.
pub fn init(host: Arc<str>) {
    Builder::from_env(Env::default().default_filter_or("info,tarpc=warn"))
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
