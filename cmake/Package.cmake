# Build rules shared by all directories: one static library per package, one
# test program per test file.
include(CheckCCompilerFlag)
find_package(PkgConfig REQUIRED)
if(NOT CG_PLATFORM_ONLY)
    find_package(GTest REQUIRED)
endif()
find_program(CCACHE ccache)

if(CCACHE)
    set(CMAKE_C_COMPILER_LAUNCHER ${CCACHE})
    set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE})
endif()

pkg_check_modules(LWS REQUIRED IMPORTED_TARGET libwebsockets)
pkg_check_modules(JANSSON REQUIRED IMPORTED_TARGET jansson)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(ZLIB REQUIRED IMPORTED_TARGET zlib)
pkg_check_modules(BSD REQUIRED IMPORTED_TARGET libbsd)
pkg_check_modules(CRYPTO REQUIRED IMPORTED_TARGET libcrypto)
if(NOT CG_PLATFORM_ONLY)
    pkg_check_modules(CONFIG REQUIRED IMPORTED_TARGET libconfig)
    pkg_check_modules(CURL REQUIRED IMPORTED_TARGET libcurl)
endif()
set(MSGPACK_LIB msgpackc)
set(LOG4C_LIB log4c)

set(CMAKE_C_STANDARD 11)
set(CMAKE_C_EXTENSIONS ON)
set(CMAKE_CXX_STANDARD 17)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

add_compile_options(-Wall -Wextra -Werror -Wno-unused-parameter -Wshadow)
add_compile_options($<$<COMPILE_LANGUAGE:C>:-Wstrict-prototypes>)
add_compile_options($<$<COMPILE_LANGUAGE:C>:-Wmissing-prototypes>)
add_compile_definitions(_GNU_SOURCE)
include_directories(${CMAKE_SOURCE_DIR}/packages ${CMAKE_SOURCE_DIR})

option(CG_SANITIZE "address and undefined-behaviour sanitizers" OFF)
if(CG_SANITIZE)
    add_compile_options(-fsanitize=address,undefined
        -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
    add_link_options(-fsanitize=address,undefined)
endif()

option(CG_FUZZ "libFuzzer programs of fuzz/ (clang)" OFF)
if(CG_FUZZ)
    add_compile_options(-fsanitize=fuzzer-no-link,address,undefined
        -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
    add_link_options(-fsanitize=address,undefined)
endif()

# cg_package(NAME libs...): builds the package's *.c as the library cg_NAME and
# each test/*.cc as a test program of its own.
function(cg_package name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.c)
    if(sources)
        add_library(cg_${name} STATIC ${sources})
        target_link_libraries(cg_${name} PUBLIC ${ARGN})
    else()
        add_library(cg_${name} INTERFACE)
        target_link_libraries(cg_${name} INTERFACE ${ARGN})
    endif()
    if(CG_PLATFORM_ONLY)
        return()
    endif()
    file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/test/*.cc)
    foreach(test ${tests})
        get_filename_component(base ${test} NAME_WE)
        cg_test(${name}_${base} ${test} cg_${name})
    endforeach()
endfunction()

# cg_test(NAME SOURCE libs...): builds one GoogleTest program and registers it
# with CTest.
function(cg_test name source)
    add_executable(${name} ${source})
    target_link_libraries(${name} ${ARGN} GTest::gtest GTest::gtest_main)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
