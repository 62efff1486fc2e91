/**
 * The settings script of a small site: the schema of its blocks and fields, the checks at load, the
 * defaults, and the typed settings that a node runs by.
 *
 * <p>Pure but for {@link cresschute.settings.SettingsFile}, which reads one file. Nothing here is
 * kept after a load, and any thread may load settings. It uses the script language beneath it and
 * the decision module's types; the words of the script are mapped to these types in the schema
 * classes ({@link cresschute.settings.Schema} lists their blocks) and in {@link
 * cresschute.settings.SettingsBuilder}, and nowhere else.
 */
package cresschute.settings;
