package cresschute.node;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;

/** Parses JSON objects strictly. Stateless; any thread. */
public final class Json {

    private Json() {}

    /**
     * Parses a text that contains exactly one object.
     *
     * @throws JsonParseException if it contains anything else
     */
    public static JsonObject object(String text) {
        final JsonReader reader = new JsonReader(new StringReader(text));
        reader.setStrictness(Strictness.STRICT);
        try {
            final JsonElement element = JsonParser.parseReader(reader);
            if (!element.isJsonObject() || reader.peek() != JsonToken.END_DOCUMENT) {
                throw new JsonParseException("not one JSON object");
            }
            return element.getAsJsonObject();
        } catch (IOException | JsonParseException e) {
            throw new JsonParseException("not one well-formed JSON object", e);
        }
    }

    /**
     * The string under a name.
     *
     * @throws JsonParseException if it is missing or not a string
     */
    public static String string(JsonObject object, String name) {
        final JsonElement element = object.get(name);
        if (element == null
                || !element.isJsonPrimitive()
                || !element.getAsJsonPrimitive().isString()) {
            throw new JsonParseException(name + " is missing or not a string");
        }
        return element.getAsString();
    }

    /**
     * The number under a name, or a default if it is absent or null.
     *
     * @throws JsonParseException if it is not a number
     */
    public static double number(JsonObject object, String name, double otherwise) {
        final JsonElement element = object.get(name);
        if (element == null || element.isJsonNull()) {
            return otherwise;
        }
        if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isNumber()) {
            throw new JsonParseException(name + " is not a number");
        }
        return element.getAsDouble();
    }

    /**
     * The object under a name.
     *
     * @throws JsonParseException if it is missing or not an object
     */
    public static JsonObject child(JsonObject object, String name) {
        final JsonElement element = object.get(name);
        if (element == null || !element.isJsonObject()) {
            throw new JsonParseException(name + " is missing or not an object");
        }
        return element.getAsJsonObject();
    }

    /**
     * The array under a name.
     *
     * @throws JsonParseException if it is missing or not an array
     */
    public static JsonArray array(JsonObject object, String name) {
        final JsonElement element = object.get(name);
        if (element == null || !element.isJsonArray()) {
            throw new JsonParseException(name + " is missing or not an array");
        }
        return element.getAsJsonArray();
    }
}
