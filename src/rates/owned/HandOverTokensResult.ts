/** The answer to a hand-over of tokens. */
export interface HandOverTokensResult {
    readonly isReceived: true;
}
