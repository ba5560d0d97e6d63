/** A field value of RFC 9110, section 5.5: no control characters, no blank at an end, and no character above one octet. */
const FIELD_VALUE = /^[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?$/;

/**
 * Whether a text reaches the other side unchanged as the value of an HTTP header field; recipients strip blanks at the ends.
 * @param text - The text.
 */
export function isHeaderValue(text: string): boolean {
    return FIELD_VALUE.test(text);
}
