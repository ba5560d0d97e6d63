import { isHeaderValue } from "../../utils/index.js";
import type { ServiceRequest } from "../ServiceRequest.js";

/** A token of RFC 9110, section 5.6.2. */
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const PATH = /^(?:\/|https?:\/\/)[\x21-\xff]*$/;
const FORBIDDEN_IN_VALUE = /[^\t\x20-\x7e\x80-\xff]/;

/**
 * Finds why a request can't be written to any upstream; undefined if it can.
 * @param request - The request.
 */
export function findRequestDefect({ method, path, account, headers }: ServiceRequest): string | undefined {
    if (!TOKEN.test(method)) {
        return "its method is no token";
    }
    if (!PATH.test(path)) {
        return "its target is no path";
    }
    if (account !== undefined && !isHeaderValue(account)) {
        return "a header field can't carry the name of its account unchanged";
    }
    const field = Object.entries(headers).find(([name, value]) =>
        !TOKEN.test(name) || [value].flat().some(each => FORBIDDEN_IN_VALUE.test(each))
    );
    return field === undefined ? undefined : `its header field ${JSON.stringify(field[0])} can't be written`;
}
