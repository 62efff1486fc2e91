/**
 * The settings script of a node: the schema of its blocks and fields, their defaults, the checks at
 * load, and the typed settings.
 *
 * <p>Only {@link cresschute.settings.SettingsFile} does I/O: it reads the script and the key file.
 * The package keeps no state between loads, and any thread may load settings. It uses the script
 * language in {@code cresschute.settings.script} and the types of the decision module. The names
 * used in scripts are mapped to these types only in the schema classes ({@link
 * cresschute.settings.Schema} lists their blocks) and in {@link
 * cresschute.settings.SettingsBuilder}.
 */
package cresschute.settings;
