#pragma once

/** HTTP server for callers: routing by path, validation, sessions and their answers, graceful stop.
    Performs I/O. */

#include "RequestSink.h"
#include "events/EntryEvents.h"
#include "http/EntryOptions.h"
#include "http/HttpEntry.h"
#include "problems/ProblemReply.h"
#include "requests/CallerRequest.h"
#include "requests/RequestParser.h"
#include "sessions/AnswerHead.h"
#include "sessions/AnswerStream.h"
#include "sessions/CallerSession.h"
