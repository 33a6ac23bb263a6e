use crate::plan::error::{MergeInput, PlanError, PlanErrorReason};
use crate::plan::schema::Plan;
use crate::schema_errors::invalid_fields;
use schematic::{ConfigError, ConfigLoader};
use serde_json::Value;

/// The number of errors of a plan after which no more fields of a wrong type are searched for.
const MAX_LISTED_ERRORS: usize = 32;

/// Parses and validates a plan in JSON.
///
/// # Errors
///
/// All errors that were found, each with the path of its field.
pub fn parse_plan(bytes: &[u8]) -> Result<Plan, Vec<PlanError>> {
    let (text, value) = parse_object(bytes).map_err(|error| vec![error])?;
    let plan = load(text).map_err(|error| all_schema_errors(error, value))?;
    let errors = plan.validation_errors();
    if errors.is_empty() {
        Ok(plan)
    } else {
        Err(errors)
    }
}

/// Parses the document as a JSON object.
///
/// The schema library would take comments, and documents that are not an object. A plan must be plain JSON,
/// because changes to it are merged as JSON.
fn parse_object(bytes: &[u8]) -> Result<(&str, Value), PlanError> {
    let text = std::str::from_utf8(bytes)
        .map_err(|error| PlanError::in_document(PlanErrorReason::NotUtf8(error)))?;
    let value: Value = serde_json::from_str(text).map_err(|error| {
        let message = error.to_string();
        PlanError::in_document(PlanErrorReason::NotJson { message })
    })?;
    if value.is_object() {
        Ok((text, value))
    } else {
        Err(PlanError::in_document(PlanErrorReason::NotAnObject))
    }
}

fn load(text: &str) -> Result<Plan, ConfigError> {
    let mut loader = ConfigLoader::<Plan>::new();
    loader.code(text, "plan.json")?;
    loader.load().map(|loaded| loaded.config)
}

/// All errors that the schema finds in a document whose first one is known.
///
/// The schema library stops at the first field of a wrong type. The document is loaded again without that
/// field, so that the next error shows.
fn all_schema_errors(first: ConfigError, mut document: Value) -> Vec<PlanError> {
    let mut errors = vec![];
    let mut next = Some(first);
    while let Some(error) = next.take() {
        let fields = invalid_fields(&error);
        let may_continue =
            matches!(error, ConfigError::Parser { .. }) && errors.len() < MAX_LISTED_ERRORS;
        let was_removed = may_continue
            && fields
                .first()
                .is_some_and(|field| remove_field(&mut document, &field.path));
        errors.extend(fields.into_iter().map(PlanError::from));
        if was_removed {
            next = load(&document.to_string()).err();
        }
    }
    errors
}

/// Removes the field at a path from a document and returns whether it was there.
///
/// Names of fields may contain dots, so every dot of the path is tried as the end of a name. An element of
/// an array is removed with the whole array.
fn remove_field(document: &mut Value, path: &str) -> bool {
    let Some(object) = document.as_object_mut() else {
        return false;
    };
    if object.remove(path).is_some() {
        return true;
    }
    let was_removed = path.match_indices('.').any(|(dot, _)| {
        let (name, rest) = (&path[..dot], &path[dot + 1..]);
        let name = name.split('[').next().unwrap_or(name);
        object
            .get_mut(name)
            .is_some_and(|inner| remove_field(inner, rest))
    });
    was_removed
        || path
            .split_once('[')
            .is_some_and(|(name, _)| object.remove(name).is_some())
}

/// Applies a change, a JSON merge patch (RFC 7396), to a plan and returns the changed document.
///
/// # Errors
///
/// The plan or the change is not JSON, or the change is not an object. The result is not validated:
/// [`parse_plan`] does that.
pub fn merge_change(plan: &[u8], change: &[u8]) -> Result<Vec<u8>, Vec<PlanError>> {
    let mut document = parse_merge_input(plan, MergeInput::Plan)?;
    let change = parse_merge_input(change, MergeInput::Change)?;
    if !change.is_object() {
        let error = PlanError::in_document(PlanErrorReason::ChangeNotAnObject);
        return Err(vec![error]);
    }
    json_patch::merge(&mut document, &change);
    Ok(serde_json::to_vec(&document).expect("a JSON value can be written as JSON"))
}

fn parse_merge_input(bytes: &[u8], input: MergeInput) -> Result<Value, Vec<PlanError>> {
    serde_json::from_slice(bytes).map_err(|error| {
        let message = error.to_string();
        let reason = PlanErrorReason::MergeInputNotJson { input, message };
        vec![PlanError::in_document(reason)]
    })
}
