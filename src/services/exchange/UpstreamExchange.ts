import { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { IncomingHttpHeaders } from "undici/types/header.js";
import { SlowReaderError, TruncatedAnswerError, UnexpectedVariantError } from "../../errors/index.js";
import { CONNECTION_FIELDS, isFinalStatus } from "../../outcomes/index.js";
import type { FinalStatus, HeaderFields } from "../../outcomes/index.js";
import type { ScheduledCall } from "../../time/index.js";
import { closeUnusedBody } from "../../utils/index.js";
import type { ServiceRequest } from "../ServiceRequest.js";
import { AnswerCheckKind } from "./AnswerCheckKind.js";
import type { AnswerCheckResult } from "./AnswerCheckResult.js";
import { AnswerOverhead } from "./AnswerOverhead.js";
import { findInvalidAnswer } from "./findInvalidAnswer.js";
import { isInterimHead } from "./isInterimHead.js";
import { PieceJoiner } from "./PieceJoiner.js";
import type { UpstreamAnswer } from "./UpstreamAnswer.js";
import { UpstreamAnswerKind } from "./UpstreamAnswerKind.js";
import type { UpstreamConnection } from "./UpstreamConnection.js";
import type { UpstreamExchangeOptions } from "./UpstreamExchangeOptions.js";

/** Codes of undici's errors for a request that it doesn't write. */
const REQUEST_ERROR_CODES: ReadonlySet<string> = new Set([
    "UND_ERR_INVALID_ARG",
    "UND_ERR_NOT_SUPPORTED",
    "UND_ERR_REQ_CONTENT_LENGTH_MISMATCH",
]);
const STATUS_LENGTH = 3;
const BODILESS_STATUSES = new Set([204, 304]);
/** A body that its reader has kept waiting for this share of its time is late by the reader, not by the upstream. */
const SLOW_READER_SHARE = 0.5;

/** Sends one request over a connection and receives its response. */
export class UpstreamExchange {
    readonly #connection: UpstreamConnection;
    readonly #request: ServiceRequest;
    readonly #options: UpstreamExchangeOptions;
    #controller: Dispatcher.DispatchController | undefined;
    #body: Readable | undefined;
    readonly #overhead = new AnswerOverhead();
    #receivedBefore = 0;
    readonly #pieces = new PieceJoiner(bytes => this.#writeBody(bytes));
    #startTime = 0;
    #isEnded = false;
    #isIdentified = false;
    #isEndDetectable = true;
    #timer: ScheduledCall | undefined;
    /** Clock time at which the reader began to keep the body waiting, in milliseconds. */
    #pauseTime: number | undefined;
    #pausedMs = 0;
    #resolve: (answer: UpstreamAnswer) => void = () => {};

    /**
     * @param connection - The connection, which no other exchange uses.
     * @param request - The request to send.
     * @param options - Time limits, and the callback for the end of the exchange.
     */
    constructor(connection: UpstreamConnection, request: ServiceRequest, options: UpstreamExchangeOptions) {
        this.#connection = connection;
        this.#request = request;
        this.#options = options;
    }

    /** Sends the request and waits for the response head; never rejects. */
    run(): Promise<UpstreamAnswer> {
        return new Promise(resolve => {
            this.#resolve = resolve;
            const { clock, firstByteTimeoutMs, signal } = this.#options;
            this.#startTime = clock.getTime();
            this.#timer = clock.schedule(firstByteTimeoutMs, () => this.#stop(this.#createTimeout()));
            signal.addEventListener("abort", this.#onAbort, { once: true });
            this.#send();
        });
    }

    #send(): void {
        const { protocol, upstream } = this.#options;
        const body = this.#request.body.length > 0 ? this.#request.body : null;
        try {
            this.#connection.client.dispatch({
                method: this.#request.method as Dispatcher.HttpMethod,
                path: this.#request.path,
                headers: protocol.createHeaders(upstream, this.#request, this.#options.deadlineMs),
                body,
            }, this.#createHandler());
        }
        catch (error) {
            this.#receiveError(error as Error);
        }
    }

    #createHandler(): Dispatcher.DispatchHandler {
        return {
            onRequestStart: controller => {
                this.#controller = controller;
                this.#connection.applyResume(() => controller.resume());
                this.#receivedBefore = this.#connection.getReceivedBytes();
                this.#connection.applyReceiveListener(() => this.#checkOverhead());
                if (this.#isEnded) {
                    controller.abort(new TruncatedAnswerError("The exchange has ended."));
                }
            },
            onResponseStart: (controller, status, headers) => {
                if (this.#isEnded) {
                    return;
                }
                if (isFinalStatus(status)) {
                    this.#receiveHead(controller, status, headers);
                }
                else if (!isInterimHead(status, headers)) {
                    const detail = `status ${String(status).padStart(STATUS_LENGTH, "0")}`;
                    this.#stop({ kind: UpstreamAnswerKind.Invalid, detail });
                }
                else {
                    this.#overhead.recordInterimHead();
                    this.#checkOverhead();
                }
            },
            onResponseData: (_, chunk) => {
                this.#overhead.recordContent(chunk.length);
                this.#pieces.add(chunk);
            },
            onResponseEnd: () => this.#receiveEnd(),
            onResponseError: (_, error) => this.#receiveError(error),
        };
    }

    /** Ends the exchange if too much comes beside the content of the answer. */
    #checkOverhead(): void {
        if (this.#isEnded) {
            return;
        }
        const detail = this.#overhead.findExcess(this.#connection.getReceivedBytes() - this.#receivedBefore);
        if (detail === undefined) {
            return;
        }
        if (this.#body === undefined) {
            this.#stop({ kind: UpstreamAnswerKind.Invalid, detail });
        }
        else {
            this.#body.destroy(new TruncatedAnswerError(`The upstream sent ${detail}.`));
        }
        // The parser would read on until its input ends.
        this.#controller?.abort(new TruncatedAnswerError(detail));
    }

    #writeBody(bytes: Buffer): void {
        if (this.#body !== undefined && !this.#body.destroyed && !this.#body.push(bytes)) {
            this.#pauseTime ??= this.#options.clock.getTime();
            this.#controller?.pause();
        }
    }

    #receiveHead(controller: Dispatcher.DispatchController, status: FinalStatus, headers: IncomingHttpHeaders): void {
        this.#timer?.cancel();
        const { protocol } = this.#options;
        this.#isIdentified = protocol.hasRequestId(headers);
        const result = this.#checkAnswer(status, headers);
        this.#isEndDetectable = this.#isFramed(status, headers) || protocol.hasCloseDelimitedBodies;
        const body = new Readable({
            read: () => {
                this.#recordPauseEnd();
                controller.resume();
            },
            destroy: (error, callback) => {
                this.#close(false);
                callback(error);
            },
        });
        this.#body = body;
        switch (result.kind) {
            case AnswerCheckKind.Answered:
                this.#startBodyTimer(body, this.#options.answerTimeoutMs);
                this.#resolve({
                    kind: UpstreamAnswerKind.Answered,
                    status,
                    headers: createAnswerHeaders(headers),
                    body,
                    notice: protocol.decodeNotice(status, headers),
                });
                return;
            case AnswerCheckKind.Shed:
                this.#connection.recordRefusal(protocol.getRequestId(this.#request));
                this.#startBodyTimer(body, this.#options.firstByteTimeoutMs);
                closeUnusedBody(body);
                this.#resolve({
                    kind: UpstreamAnswerKind.Shed,
                    retryAfterMs: result.retryAfterMs,
                    notice: protocol.decodeNotice(status, headers),
                });
                return;
            case AnswerCheckKind.Misdirected:
                body.on("error", () => {}).destroy();
                this.#resolve({ kind: UpstreamAnswerKind.ConnectFailed, detail: "another upstream has the address" });
                return;
            case AnswerCheckKind.Mismatched:
                body.on("error", () => {}).destroy();
                this.#resolve({ kind: UpstreamAnswerKind.ConnectionLost, detail: result.detail });
                return;
            default:
                throw new UnexpectedVariantError(result);
        }
    }

    /** A response without an id is accepted only as the first on its connection, where it can't repeat an earlier one. */
    #checkAnswer(status: number, headers: IncomingHttpHeaders): AnswerCheckResult {
        const { protocol, upstream } = this.#options;
        if (!this.#isIdentified && this.#connection.hasEarlierRequest()) {
            return { kind: AnswerCheckKind.Mismatched, detail: "the response does not name its request" };
        }
        return protocol.checkAnswer(upstream, this.#request, status, headers);
    }

    /** Limits the time for the body, as an upstream may send one without end. */
    #startBodyTimer(body: Readable, timeoutMs: number | undefined): void {
        if (timeoutMs === undefined) {
            return;
        }
        const { clock } = this.#options;
        const startTime = clock.getTime();
        const remainingMs = Math.max(0, this.#startTime + timeoutMs - startTime);
        this.#timer = clock.schedule(remainingMs, () => {
            const isPaused = this.#pauseTime !== undefined;
            this.#recordPauseEnd();
            const bodyMs = clock.getTime() - startTime;
            body.destroy(
                isPaused || this.#pausedMs > bodyMs * SLOW_READER_SHARE
                    ? new SlowReaderError("The answer was not read in time.")
                    : new TruncatedAnswerError("The answer did not end in time."),
            );
        });
    }

    #recordPauseEnd(): void {
        if (this.#pauseTime !== undefined) {
            this.#pausedMs += this.#options.clock.getTime() - this.#pauseTime;
            this.#pauseTime = undefined;
        }
    }

    #isFramed(status: number, headers: IncomingHttpHeaders): boolean {
        return this.#request.method === "HEAD" || BODILESS_STATUSES.has(status) ||
            headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
    }

    #receiveEnd(): void {
        if (!this.#isEndDetectable) {
            this.#body?.destroy(
                new TruncatedAnswerError("The end of the answer can't be told from a lost connection."),
            );
            return;
        }
        this.#pieces.writePending();
        this.#close(true);
        this.#body?.push(null);
    }

    #receiveError(error: Error): void {
        if (this.#body !== undefined) {
            this.#body.destroy(new TruncatedAnswerError("The upstream's answer was cut.", { cause: error }));
            return;
        }
        const detail = error.message;
        if (this.#controller !== undefined) {
            const invalid = findInvalidAnswer(error);
            this.#stop(
                invalid === undefined
                    ? { kind: UpstreamAnswerKind.ConnectionLost, detail }
                    : { kind: UpstreamAnswerKind.Invalid, detail: invalid },
            );
            return;
        }
        const kind = isRequestError(error) ? UpstreamAnswerKind.NotSendable : UpstreamAnswerKind.ConnectFailed;
        this.#stop({ kind, detail });
    }

    #createTimeout(): UpstreamAnswer {
        return this.#controller === undefined
            ? { kind: UpstreamAnswerKind.ConnectFailed, detail: "The connection was not open in time." }
            : { kind: UpstreamAnswerKind.TimedOut };
    }

    readonly #onAbort = (): void => {
        if (this.#body === undefined) {
            this.#stop({ kind: UpstreamAnswerKind.Aborted });
        }
    };

    #stop(answer: UpstreamAnswer): void {
        this.#resolve(answer);
        this.#close(false);
    }

    #close(isWhole: boolean): void {
        if (this.#isEnded) {
            return;
        }
        this.#isEnded = true;
        this.#timer?.cancel();
        this.#options.signal.removeEventListener("abort", this.#onAbort);
        this.#options.onEnd(isWhole && this.#isIdentified);
    }
}

/** Whether the HTTP client refused the request itself, before it opened a connection. */
function isRequestError(error: Error): boolean {
    return REQUEST_ERROR_CODES.has((error as NodeJS.ErrnoException).code ?? "");
}

function createAnswerHeaders(headers: IncomingHttpHeaders): HeaderFields {
    const entries = Object.entries(headers).filter(([name, value]) =>
        value !== undefined && !CONNECTION_FIELDS.has(name)
    );
    return Object.fromEntries(entries) as HeaderFields;
}
