//! Validation rules of single fields, checked by garde.

use garde::Validate;
use serde_json::Value;

use crate::{Document, Problem, rules, schema::SchemaNode, step::Step};

/// Checks the rules of each field.
pub(crate) fn find_problems(document: &Document) -> Vec<Problem> {
    let Err(report) = document.validate() else {
        return Vec::new();
    };
    let root = serde_json::to_value(document).expect("a document can be represented as JSON");
    report
        .iter()
        .map(|(path, error)| to_problem(&root, &path.to_string(), &error.to_string()))
        .collect()
}

fn to_problem(root: &Value, path: &str, message: &str) -> Problem {
    let steps = Step::parse(path);
    let value = Step::lookup(root, &steps);
    if let Some((rule, remedy)) = rules::split(message) {
        return Problem::new(Step::render(&steps), value, rule, remedy);
    }
    let node = find_node(&steps);
    let rule = node
        .and_then(SchemaNode::bounds)
        .unwrap_or_else(|| message.to_owned());
    let remedy = remedy(&steps, node);
    Problem::new(Step::render(&steps), value, &rule, &remedy)
}

/// The remedy for a value outside its bounds: the description of the field.
pub(crate) fn remedy(steps: &[Step], node: Option<SchemaNode>) -> String {
    let name = match steps.last() {
        Some(Step::Field(name)) => format!("`{name}`"),
        Some(Step::Index(_)) => "the entry".to_owned(),
        None => return "write the fields of a document; the schema lists them".to_owned(),
    };
    match node.and_then(SchemaNode::description) {
        Some(text) => format!("change {name}: {}", to_clause(text)),
        None => format!("change {name}"),
    }
}

fn find_node(steps: &[Step]) -> Option<SchemaNode> {
    let mut node = SchemaNode::root();
    for step in steps {
        node = match step {
            Step::Field(name) => node.field(name)?,
            Step::Index(_) => node.item()?,
        };
    }
    Some(node)
}

/// Turns a sentence of a doc comment into a clause that can follow a colon.
pub(crate) fn to_clause(text: &str) -> String {
    let text = text.trim_end_matches('.');
    let mut chars = text.chars();
    let first = chars.next().map(|it| it.to_ascii_lowercase());
    first.into_iter().chain(chars).collect()
}
