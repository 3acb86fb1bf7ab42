//! Compares a value with the JSON Schema and reports every missing or unknown field and every
//! wrong type, so that one wrong type does not hide the others.

use serde_json::Value;

use crate::{Problem, field, schema::SchemaNode, step::Step};

/// Adds the problems of `value` to `problems`.
pub(crate) fn check(value: &Value, problems: &mut Vec<Problem>) {
    let mut path = Vec::new();
    ShapeChecker { problems }.check_value(value, SchemaNode::root(), &mut path);
}

struct ShapeChecker<'a> {
    problems: &'a mut Vec<Problem>,
}

impl ShapeChecker<'_> {
    fn check_value(&mut self, value: &Value, node: SchemaNode, path: &mut Vec<Step>) {
        let types = node.types();
        if !types.iter().any(|it| has_type(value, it, node)) {
            let rule = format!("must be {}", describe_type(types.first().copied(), node));
            let remedy = match value {
                Value::Number(_) | Value::Bool(_) if types.contains(&"string") => {
                    "put the value in quotes".to_owned()
                }
                _ => field::remedy(path, Some(node)),
            };
            self.push(path, value, &rule, &remedy);
            return;
        }
        match value {
            Value::Object(fields) => self.check_object(fields, node, path),
            Value::Array(list) => self.check_list(list, node, path),
            _ => {}
        }
    }

    fn check_list(&mut self, list: &[Value], node: SchemaNode, path: &mut Vec<Step>) {
        let Some(item) = node.item() else {
            return;
        };
        for (index, value) in list.iter().enumerate() {
            path.push(Step::Index(index));
            self.check_value(value, item, path);
            path.pop();
        }
    }

    fn check_object(
        &mut self,
        fields: &serde_json::Map<String, Value>,
        node: SchemaNode,
        path: &mut Vec<Step>,
    ) {
        for name in node.required_fields() {
            if fields.contains_key(name) {
                continue;
            }
            path.push(Step::Field(name.to_owned()));
            let description = node.field(name).and_then(SchemaNode::description);
            let remedy = format!(
                "add it: {}",
                field::to_clause(description.unwrap_or("see the schema"))
            );
            self.push(path, &Value::Null, "must be present", &remedy);
            path.pop();
        }
        for (name, value) in fields {
            path.push(Step::Field(name.clone()));
            if let Some(node) = node.field(name) {
                self.check_value(value, node, path);
            } else {
                let names: Vec<_> = node.field_names().collect();
                let remedy = format!("remove it, or correct it to one of {}", names.join(", "));
                self.push(path, value, "must be a known field", &remedy);
            }
            path.pop();
        }
    }

    fn push(&mut self, path: &[Step], value: &Value, rule: &str, remedy: &str) {
        let path = Step::render(path);
        self.problems.push(Problem::new(path, value, rule, remedy));
    }
}

/// Whether `value` has the schema type `name`.
fn has_type(value: &Value, name: &str, node: SchemaNode) -> bool {
    match name {
        "object" => value.is_object(),
        "array" => value.is_array(),
        "string" => value.is_string(),
        "boolean" => value.is_boolean(),
        "null" => value.is_null(),
        "number" => value.is_number(),
        "integer" => value.as_u64().is_some_and(|it| it <= node.max_integer()),
        _ => false,
    }
}

fn describe_type(name: Option<&str>, node: SchemaNode) -> String {
    match name {
        Some("object") => "a mapping".to_owned(),
        Some("array") => "a list".to_owned(),
        Some("string") => "a string".to_owned(),
        Some("boolean") => "true or false".to_owned(),
        Some("number") => "a number".to_owned(),
        _ => node.bounds().map_or_else(
            || "a whole number".to_owned(),
            |it| it.trim_start_matches("must be ").to_owned(),
        ),
    }
}
